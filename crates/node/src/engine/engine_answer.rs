//! The answer to an attempt.

use hyper::{HeaderMap, StatusCode};

use super::{AnswerHead, EngineBody};

/// An answer that names the attempt it belongs to, with its body still to be read.
pub(crate) struct EngineAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: EngineBody,
}
