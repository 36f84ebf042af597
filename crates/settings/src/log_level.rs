//! Log levels.

use derive_more::Display;

/// Least severe log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum LogLevel {
    /// The process cannot go on.
    #[display("critical")]
    Critical,
    /// Something failed and was not mended.
    #[display("error")]
    Error,
    /// Something failed and was mended, or may fail soon.
    #[display("warning")]
    Warning,
    /// Changes of state.
    #[display("info")]
    Info,
    /// Each request.
    #[display("debug")]
    Debug,
    /// Each message.
    #[display("trace")]
    Trace,
}

impl LogLevel {
    /// The words for the levels, most severe first.
    pub const WORDS: &'static [&'static str] =
        &["critical", "error", "warning", "info", "debug", "trace"];

    /// The level of a word.
    pub fn from_word(word: &str) -> Option<Self> {
        let levels = [
            Self::Critical,
            Self::Error,
            Self::Warning,
            Self::Info,
            Self::Debug,
            Self::Trace,
        ];
        levels.into_iter().find(|level| level.to_string() == word)
    }
}
