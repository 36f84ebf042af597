//! The interface to the wire protocol of callers and engines.

use hyper::header::HeaderMap;
use hyper::http::{request, response};

use super::{AnswerFacts, AttemptHead, BadRequest, CallerRequest, UnreadableConfiguration};
use crate::catalogue::RoutingTable;

/// Reads and writes request and answer heads in the wire protocol of callers and engines.
pub trait Dialect {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, BadRequest>;

    /// Writes the header fields of an attempt. They replace fields with the same names that the caller sent.
    fn write_attempt(&self, attempt: &AttemptHead, headers: &mut HeaderMap);

    /// Reads the head of an engine's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Parses a configuration that another node has forwarded in the format of the source.
    fn read_configuration(&self, text: &str) -> Result<RoutingTable, UnreadableConfiguration>;

    /// Writes the header fields of a refusal by the gateway, which answers the request with this id.
    fn write_refusal(&self, request_id: Option<&str>, headers: &mut HeaderMap);
}
