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
    /// Sum of the queued tokens, the request's uncached tokens, latency, import, occupied KV memory
    /// and the penalty for recomputation, all expressed as a number of prompt tokens to compute.
    pub(super) cost: f64,
    /// Estimated time to the first token.
    pub(super) first_token_in: Duration,
    /// Prefix to import before prefill, and its length in tokens.
    pub(super) import: Option<(BlockHash, u32)>,
    pub(super) expectation: Expectation,
}
