//! How a call ended.

use std::time::Duration;

use ryerouter_core::dispatch::RunState;

use tokio::time::Instant;

use super::Call;

/// One submission of a call and how it ended.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call.
    pub call: Call,
    /// Number of the submission, from 1.
    pub submission: u32,
    /// How it ended.
    pub end: CallEnd,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// Time to the first token, or to the whole answer when it was not streamed.
    pub first_token: Option<Duration>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer came, and it is what the back end must have said.
    Right {
        /// Weights that gave it; `None` for plain services.
        weights_version: Option<u64>,
    },
    /// A whole answer came, and it is not what the back end must have said.
    Wrong {
        /// What is wrong with it.
        reason: String,
    },
    /// It was refused, before the answer or within it.
    Refused {
        /// What the router says of whether it ran.
        run_state: RunState,
        /// Why.
        reason: String,
        /// When the router says that the caller may come back.
        retry_after: Option<Duration>,
    },
    /// No connection: not one byte was sent.
    NotConnected,
    /// The connection failed or the answer broke off without a word.
    Broken {
        /// What the caller saw.
        reason: String,
    },
}
