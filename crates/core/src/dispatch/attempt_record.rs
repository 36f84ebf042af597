//! A running attempt.

use std::time::Duration;

use crate::identity::{AttemptId, BackEndName, DataCentreName, Incarnation, RequestId};
use crate::placement::{CacheEpoch, EngineKey};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

use super::Priority;

/// An attempt that has started and not ended.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    pub(super) request: RequestId,
    pub(super) back_end: BackEndName,
    pub(super) data_centre: DataCentreName,
    pub(super) engine: EngineKey,
    pub(super) priority: Priority,
    pub(super) started_at: Timestamp,
    /// Time to the first token, once it has come.
    pub(super) first_token_after: Option<Duration>,
    /// The incarnation that serves it, once its answer has told.
    pub(super) incarnation: Option<Incarnation>,
    /// The attempt whose stream this one reads on, if it does.
    pub(super) resumes: Option<AttemptId>,
    /// Whether it finds out if an ejected engine is back.
    pub(super) is_probe: bool,
    /// What its choice was founded on.
    pub(super) expectation: Expectation,
}

/// The part of a shared prefix of which this process does not know whether an engine holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct UncertainRange {
    pub(super) priority: Priority,
    /// Tokens that are known or taken to be held.
    pub(super) start: f64,
    /// Tokens of the whole shared prefix.
    pub(super) end: f64,
}

impl UncertainRange {
    /// Tokens of the unknown part.
    pub(super) fn tokens(&self) -> f64 {
        self.end - self.start
    }

    /// Share of the unknown part that was found when `cached` tokens were.
    pub(super) fn hit_share(&self, cached: u32) -> f64 {
        (f64::from(cached) - self.start) / self.tokens()
    }
}

/// What the choice of an engine was founded on, to learn from how it came out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Expectation {
    /// Prompt tokens expected in the cache because this process sent them there.
    pub(super) known_cached: u32,
    /// How long ago, and in which life of the cache.
    pub(super) known_age: Option<(Duration, CacheEpoch)>,
    /// The part of the shared prefix of which nothing was known, in the first engine in order.
    pub(super) uncertain_range: Option<UncertainRange>,
    /// Prompt tokens expected to be computed.
    pub(super) uncached_tokens: u32,
    /// Prompt tokens to be computed before its own.
    pub(super) tokens_ahead: f64,
    /// Prefix and tokens it imports.
    pub(super) imported: Option<(BlockHash, u32)>,
    /// Prefix it exports.
    pub(super) exported: Option<BlockHash>,
}
