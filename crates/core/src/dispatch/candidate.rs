//! A candidate engine for a request.

use std::time::Duration;

use crate::placement::PoolMember;
use crate::prompt::BlockHash;

use super::attempt_record::Expectation;

/// An engine that could serve a request, with its estimated cost.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) member: &'a PoolMember,
    pub(super) is_probe: bool,
    pub(super) has_room: bool,
    /// Cost in prompt tokens to compute: queued tokens, those of the request, latency, import,
    /// occupied KV memory and the penalty for recomputation.
    pub(super) cost: f64,
    pub(super) first_token_in: Duration,
    /// Prefix to import before prefill, and its length in tokens.
    pub(super) import: Option<(BlockHash, u32)>,
    pub(super) expectation: Expectation,
}
