//! A candidate for a request.

use std::time::Duration;

use crate::placement::PoolMember;
use crate::prompt::BlockHash;

use super::attempt_record::Expectation;

/// An engine that could serve a request, and what that would cost.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) member: &'a PoolMember,
    pub(super) is_probe: bool,
    pub(super) has_room: bool,
    /// Cost in prompt tokens to compute: those ahead, its own, and the price of recomputation.
    pub(super) cost: f64,
    pub(super) first_token_in: Duration,
    /// Prefix and tokens to import first.
    pub(super) import: Option<(BlockHash, u32)>,
    pub(super) expectation: Expectation,
}
