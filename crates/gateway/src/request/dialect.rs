//! The translation of heads.

use hyper::header::HeaderMap;
use hyper::http::{request, response};

use super::{AnswerFacts, AttemptHead, BadRequest, CallerRequest, UnreadableConfiguration};
use crate::catalogue::RoutingTable;

/// Reads and writes the heads of the protocol that callers and engines speak.
pub trait Dialect {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, BadRequest>;

    /// Writes what an engine is told; replaces whatever the caller sent under the same names.
    fn write_attempt(&self, attempt: &AttemptHead, headers: &mut HeaderMap);

    /// Reads the head of an engine's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Reads a configuration that another node hands on in the words of the source.
    fn read_configuration(&self, text: &str) -> Result<RoutingTable, UnreadableConfiguration>;

    /// Writes the head of an answer of the gateway's own to a request with this id.
    fn write_refusal(&self, request_id: Option<&str>, headers: &mut HeaderMap);
}
