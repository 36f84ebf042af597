//! Limits.

use std::time::Duration;

use super::checked_values::CheckedValues;

/// Limits of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Most caller connections at once; further ones are closed unanswered.
    pub connections: usize,
    /// Most requests at once; further ones are refused.
    pub active_requests: usize,
    /// Largest body of one request; a larger one is refused.
    pub body_bytes: usize,
    /// Most bytes of all request bodies held at once.
    pub held_body_bytes: usize,
    /// Largest server-sent event taken from a back end.
    pub event_bytes: usize,
    /// Answers up to this size are held until whole, so that a broken one can be tried again.
    pub answer_buffer_bytes: usize,
    /// Buffer of a connection in each direction; also bounds the header section.
    pub connection_buffer_bytes: usize,
    /// Longest wait for a header section, and for the next request on a connection.
    pub header_timeout: Duration,
    /// Longest wait for the whole body of a request.
    pub body_timeout: Duration,
    /// Longest time a caller may leave written bytes untaken.
    pub caller_stall_timeout: Duration,
    /// Longest wait for a connection to a back end.
    pub connect_timeout: Duration,
    /// Longest wait for the head of a back end's answer.
    pub answer_head_timeout: Duration,
    /// Longest silence within a back end's answer.
    pub engine_idle_timeout: Duration,
    /// Longest time an unused connection to a back end is kept.
    pub idle_connection_timeout: Duration,
    /// Most unused connections that one traffic thread keeps to one back end.
    pub idle_connections_per_back_end: usize,
    /// Longest wait for caller connections to end after the last request of a planned stop.
    pub stop_connections_timeout: Duration,
    /// When callers refused because of a planned stop are told to come back.
    pub stop_retry_after: Duration,
    /// Ended requests kept for `ryectl explain`.
    pub explained_requests: usize,
}

impl LimitSettings {
    pub(crate) fn read(values: &CheckedValues) -> Self {
        let count = |path| values.integer(path) as usize;
        let milliseconds = |path| Duration::from_millis(values.integer(path));
        Self {
            connections: count("limits.connections"),
            active_requests: count("limits.active_requests"),
            body_bytes: count("limits.body_bytes"),
            held_body_bytes: count("limits.held_body_bytes"),
            event_bytes: count("limits.event_bytes"),
            answer_buffer_bytes: count("limits.answer_buffer_bytes"),
            connection_buffer_bytes: count("limits.connection_buffer_bytes"),
            header_timeout: milliseconds("limits.header_timeout_ms"),
            body_timeout: milliseconds("limits.body_timeout_ms"),
            caller_stall_timeout: milliseconds("limits.caller_stall_timeout_ms"),
            connect_timeout: milliseconds("limits.connect_timeout_ms"),
            answer_head_timeout: milliseconds("limits.answer_head_timeout_ms"),
            engine_idle_timeout: milliseconds("limits.engine_idle_timeout_ms"),
            idle_connection_timeout: milliseconds("limits.idle_connection_timeout_ms"),
            idle_connections_per_back_end: count("limits.idle_connections_per_back_end"),
            stop_connections_timeout: milliseconds("limits.stop_connections_timeout_ms"),
            stop_retry_after: milliseconds("limits.stop_retry_after_ms"),
            explained_requests: count("limits.explained_requests"),
        }
    }
}
