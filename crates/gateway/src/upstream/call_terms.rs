//! What a call may take.

use std::time::Duration;

/// Maximum size of an answer unless its terms say otherwise. Pages of a store hold 1 MiB, escaped.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// How long a call may take, and what may be done when its connection seems silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTerms {
    /// Longest time until the whole answer is there.
    pub limit: Duration,
    /// Of it, the time that the server may hold the call on purpose: it tells nothing about how
    /// long answers take.
    pub hold: Duration,
    /// Whether it may be sent twice; see [`super::JsonCaller`] for when it is.
    pub is_repeatable: bool,
    /// Maximum size of the body of its answer in bytes.
    pub max_bytes: usize,
    /// Whether it needs a connection on which nothing was sent before. On a kept one a surplus answer to an earlier
    /// request can't be told from the answer to this call.
    pub needs_new_connection: bool,
}

impl CallTerms {
    /// A call that may be sent twice.
    pub const fn repeatable(limit: Duration) -> Self {
        Self {
            limit,
            hold: Duration::ZERO,
            is_repeatable: true,
            max_bytes: MAX_ANSWER_BYTES,
            needs_new_connection: false,
        }
    }

    /// A call that must be sent once only.
    pub const fn once(limit: Duration) -> Self {
        Self {
            limit,
            hold: Duration::ZERO,
            is_repeatable: false,
            max_bytes: MAX_ANSWER_BYTES,
            needs_new_connection: false,
        }
    }

    /// The same, where the server may hold the call for so long.
    pub const fn held_for(self, hold: Duration) -> Self {
        Self { hold, ..self }
    }

    /// The same, where the body of the answer has at most so many bytes.
    pub const fn at_most(self, max_bytes: usize) -> Self {
        Self { max_bytes, ..self }
    }

    /// The same, on a new connection.
    pub const fn on_new_connection(self) -> Self {
        Self {
            needs_new_connection: true,
            ..self
        }
    }
}
