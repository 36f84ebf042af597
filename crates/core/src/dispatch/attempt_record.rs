//! State of a running attempt.

use std::time::Duration;

use crate::identity::{AttemptId, BackEndName, DataCentreName, Incarnation, RequestId};
use crate::placement::{CacheEpoch, EngineKey};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

use super::Priority;

/// State of an attempt that has started and not ended.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    pub(super) request: RequestId,
    pub(super) back_end: BackEndName,
    pub(super) data_centre: DataCentreName,
    pub(super) engine: EngineKey,
    pub(super) priority: Priority,
    pub(super) started_at: Timestamp,
    /// Measured time to first token; `None` until the token has arrived.
    pub(super) first_token_after: Option<Duration>,
    /// Incarnation that serves the attempt: the one required at the start, then the one that
    /// answered.
    pub(super) incarnation: Option<Incarnation>,
    /// The attempt whose stream this one resumes, if any.
    pub(super) resumes: Option<AttemptId>,
    /// Whether the attempt probes an ejected engine.
    pub(super) is_probe: bool,
    /// Estimates on which the choice of the engine was based.
    pub(super) expectation: Expectation,
}

/// Token range of a shared prefix of which this process does not know whether an engine caches it.
#[derive(Debug, Clone, Copy)]
pub(super) struct UncertainRange {
    pub(super) priority: Priority,
    /// First token of the range: tokens before it are known or assumed to be cached.
    pub(super) start: f64,
    /// End of the shared prefix.
    pub(super) end: f64,
}

impl UncertainRange {
    /// Length of the range in tokens.
    pub(super) fn tokens(&self) -> f64 {
        self.end - self.start
    }

    /// Share of the range that was found in the cache when `cached` tokens of the prompt were.
    pub(super) fn hit_share(&self, cached: u32) -> f64 {
        (f64::from(cached) - self.start) / self.tokens()
    }
}

/// Estimates on which the choice of an engine was based; compared with the result to improve later
/// ones.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Expectation {
    /// Prompt tokens expected in the cache because this process sent them to the engine.
    pub(super) known_cached: u32,
    /// Time since the engine last used these tokens, and its cache generation at that use.
    pub(super) known_age: Option<(Duration, CacheEpoch)>,
    /// Token range of the shared prefix that other router processes may have sent to the engine;
    /// set only for the first engine in candidate order.
    pub(super) uncertain_range: Option<UncertainRange>,
    /// Prompt tokens expected to be computed.
    pub(super) uncached_tokens: u32,
    /// Prompt tokens of other requests that the engine computes first.
    pub(super) tokens_ahead: f64,
    /// Imported prefix and its length in tokens.
    pub(super) imported: Option<(BlockHash, u32)>,
    /// Exported prefix.
    pub(super) exported: Option<BlockHash>,
}
