//! Why a plain answer could not be read to its end.

/// Why a plain answer could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CollectError {
    /// The bytes are no answer; holds why.
    NoAnswer(String),
    /// The connection broke; holds what the transport said.
    Broken(String),
}
