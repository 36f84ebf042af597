//! A step of an engine.

use ryerouter_core::Timestamp;
use ryerouter_core::identity::AttemptId;

/// A step under way: what it computes is there when it ends.
#[derive(Debug, Clone)]
pub(super) struct Step {
    /// When it ends.
    pub ends_at: Timestamp,
    /// Prompt tokens it computes, by attempt.
    pub prefill: Vec<(AttemptId, u32)>,
    /// Attempts it computes a token of the answer for.
    pub decode: Vec<AttemptId>,
}
