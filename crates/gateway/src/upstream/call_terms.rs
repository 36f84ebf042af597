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
}

impl CallTerms {
    /// A call that may be sent twice.
    pub const fn repeatable(limit: Duration) -> Self {
        Self {
            limit,
            hold: Duration::ZERO,
            is_repeatable: true,
            max_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// A call that must be sent once only.
    pub const fn once(limit: Duration) -> Self {
        Self {
            limit,
            hold: Duration::ZERO,
            is_repeatable: false,
            max_bytes: MAX_ANSWER_BYTES,
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
}
