//! Why a plain answer could not be read to its end.

/// Why a plain answer could not be read to its end.
#[derive(Debug)]
pub(super) enum CollectError {
    /// The bytes are no answer; holds why.
    NoAnswer(String),
    /// The connection ended.
    Transport(hyper::Error),
}
