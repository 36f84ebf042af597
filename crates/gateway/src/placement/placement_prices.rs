//! Prices of placement.

use std::time::Duration;

/// Prices in one unit: the worth of a typical request is a few units.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPrices {
    /// A request whose first token comes at its target latency; grows with the square.
    pub at_target: f64,
    /// A request that begins on weights which were replaced longer than `stale_after` ago. Callers
    /// value its answer less, though not as little as a late one; see docs/design/decisions.md.
    pub stale: f64,
    /// Replaced weights cost nothing for so long after the newer ones were named.
    pub stale_after: Duration,
    /// A token that is read although some engine holds it.
    pub reread_token: f64,
    /// A gigabyte of KV cache moved within a zone.
    pub moved_gigabyte: f64,
    /// The same between zones.
    pub moved_gigabyte_across: f64,
    /// The same between regions.
    pub moved_gigabyte_remote: f64,
    /// Cache that is fetched drives out as much of what its engine held, and this share of it has to
    /// be read again: an engine that is sent the same prefixes all the time keeps more of them.
    pub displaced_share: f64,
    /// Risk that a part that nobody is known to hold is read by another engine at the same time,
    /// when it is not sent to the engine that all nodes send it to.
    pub read_twice_risk: f64,
    /// A kilobyte of a request sent to another zone.
    pub kilobyte_across: f64,
    /// The same to another region.
    pub kilobyte_remote: f64,
    /// A request that goes to another region is answered so much later.
    pub remote_delay: Duration,
    /// Share of an engine's KV memory in use that counts as crowded.
    pub crowded_share: f64,
    /// An engine whose KV memory is exceeded by all of its size.
    pub crowded: f64,
    /// Each request at an engine, for each of its slots.
    pub occupied: f64,
    /// Prompt tokens that an engine reads in a millisecond, until measured.
    pub read_tokens_per_ms: f64,
    /// Milliseconds that an engine takes for each token of an answer.
    pub token_ms: f64,
    /// A request at an engine that is kept for requests of another kind.
    pub misplaced: f64,
}

impl Default for PlacementPrices {
    fn default() -> Self {
        Self {
            at_target: 1.0,
            stale: 0.2,
            stale_after: Duration::from_millis(1_500),
            reread_token: 0.001_2,
            moved_gigabyte: 0.029,
            moved_gigabyte_across: 0.058,
            moved_gigabyte_remote: 0.087,
            kilobyte_across: 0.012,
            kilobyte_remote: 0.048,
            remote_delay: Duration::from_millis(60),
            displaced_share: 0.1,
            read_twice_risk: 0.25,
            crowded_share: 0.7,
            crowded: 3.0,
            occupied: 0.3,
            read_tokens_per_ms: 30.0,
            token_ms: 8.0,
            misplaced: 0.15,
        }
    }
}
