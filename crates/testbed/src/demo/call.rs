//! A call of the demonstration.

use std::time::Duration;

use bytes::Bytes;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::Priority;

/// A call of the demonstration.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its request id.
    pub id: String,
    /// The tenant that asks.
    pub tenant: String,
    /// Number of the node it is sent to.
    pub node: usize,
    /// When it is sent, from the start of the run.
    pub sent_at: Timestamp,
    /// Path at the router.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// How urgent it is.
    pub priority: Priority,
    /// How long its caller waits for the first token.
    pub deadline: Option<Duration>,
    /// The key under which it must run at most once.
    pub at_most_once_key: Option<String>,
    /// Whether another call with the same key is sent as well, to another node.
    pub is_duplicate: bool,
    /// What is asked for.
    pub work: CallWork,
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallWork {
    /// An answer of the model.
    Model {
        /// The model.
        model: String,
        /// The whole prompt as the engine reads it; no other call has the same.
        prompt: String,
        /// Whether it is a chat.
        chat: bool,
        /// Whether the answer is streamed.
        stream: bool,
        /// Tokens of the answer.
        output_tokens: u32,
    },
    /// A call of a plain service.
    Service {
        /// Path and query at the service; no other call has the same.
        target: String,
        /// The key it is counted under.
        counted_as: String,
    },
}
