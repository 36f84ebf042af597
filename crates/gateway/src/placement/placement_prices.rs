//! Prices of placement.

use std::time::Duration;

/// Prices in one unit: the worth of a typical request is a few units.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPrices {
    /// A request whose first token comes at its target latency; grows with the square.
    pub first_token_at_target: f64,
    /// A request that begins on weights which were replaced longer than `stale_after` ago. Callers
    /// value its answer less, though not as little as a late one; see docs/design/decisions.md.
    pub stale: f64,
    /// Replaced weights cost nothing for so long after the newer ones were named.
    pub stale_after: Duration,
    /// A token that is read although some engine holds it.
    pub reprefill_token: f64,
    /// A gigabyte of KV cache moved within a zone.
    pub moved_gigabyte: f64,
    /// The same between zones.
    pub moved_gigabyte_across_zones: f64,
    /// The same between regions.
    pub moved_gigabyte_across_regions: f64,
    /// Cache that is fetched drives out as much of what its engine held, and this share of it has to
    /// be read again: an engine that is sent the same prefixes all the time keeps more of them.
    pub displaced_share: f64,
    /// Risk that a part that nobody is known to hold is read by another engine at the same time,
    /// when it is not sent to the engine that all nodes send it to.
    pub duplicate_prefill_risk: f64,
    /// A kilobyte of a request sent to another zone.
    pub kilobyte_across_zones: f64,
    /// The same to another region.
    pub kilobyte_across_regions: f64,
    /// A request that goes to another region is answered so much later.
    pub remote_delay: Duration,
    /// Share of an engine's KV memory in use that counts as crowded.
    pub kv_high_share: f64,
    /// An engine whose KV memory is exceeded by all of its size.
    pub kv_overuse: f64,
    /// Each request at an engine, for each of its slots.
    pub occupied: f64,
    /// Prompt tokens that an engine reads in a millisecond, until measured.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds that an engine takes for each token of an answer.
    pub decode_token_ms: f64,
    /// A request at an engine that is kept for requests of another kind.
    pub wrong_split_side: f64,
}

impl Default for PlacementPrices {
    fn default() -> Self {
        Self {
            first_token_at_target: 1.0,
            stale: 0.2,
            stale_after: Duration::from_millis(1_500),
            reprefill_token: 0.001_2,
            moved_gigabyte: 0.029,
            moved_gigabyte_across_zones: 0.058,
            moved_gigabyte_across_regions: 0.087,
            kilobyte_across_zones: 0.012,
            kilobyte_across_regions: 0.048,
            remote_delay: Duration::from_millis(60),
            displaced_share: 0.1,
            duplicate_prefill_risk: 0.25,
            kv_high_share: 0.7,
            kv_overuse: 3.0,
            occupied: 0.3,
            prefill_tokens_per_ms: 30.0,
            decode_token_ms: 8.0,
            wrong_split_side: 0.15,
        }
    }
}
