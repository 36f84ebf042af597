//! How far an attempt is.

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptProgress {
    /// Index after the last chunk that is there.
    pub available: u32,
    /// How it ended, once it has.
    pub end: Option<AttemptEnd>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its answer is whole.
    Finished {
        /// Prompt tokens that were not computed.
        cached_tokens: u32,
    },
    /// It was cancelled, or lost with the process.
    Gone,
}
