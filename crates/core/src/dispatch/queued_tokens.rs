//! Prompt tokens queued in an engine.

/// Prompt tokens of running and waiting requests that an engine has not computed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueuedTokens {
    /// Tokens of interactive requests.
    pub interactive: u32,
    /// Tokens of batch requests.
    pub batch: u32,
}
