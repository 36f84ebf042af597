//! Information from the head of a caller's request.

use std::time::Duration;

use crate::placement::Prompt;

/// Information from the head of a caller's request, besides method, path and host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the request. A retry by the caller has another one.
    pub id: String,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key of the tenant.
    pub key: Option<String>,
    /// Description of the prompt; `None` for requests without one.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received of an earlier answer that broke off.
    pub last_event_id: Option<String>,
    /// Id of the request that brought the first event of that answer.
    pub resumes: Option<String>,
}

impl CallerRequest {
    /// Whether the request takes up a stream after an event that its caller has received.
    pub fn is_continuation(&self) -> bool {
        let last = self.last_event_id.as_ref();
        last.is_some_and(|id| !id.is_empty())
    }

    /// Id of the request that brings, or brought, the first event of the stream; empty if a request takes up a stream
    /// without naming it.
    pub fn first_request_id(&self) -> &str {
        match self.is_continuation() {
            true => self.resumes.as_deref().unwrap_or_default(),
            false => &self.id,
        }
    }
}
