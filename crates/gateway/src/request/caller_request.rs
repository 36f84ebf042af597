//! A caller's request.

use std::time::Duration;

use crate::placement::Prompt;

/// What the head of a caller's request says, besides method, path and host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Names this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The tenant's key.
    pub key: Option<String>,
    /// Its prompt; `None` for plain requests.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of an earlier, broken answer.
    pub last_event_id: Option<String>,
}
