//! Prices of the cost components in placement.

use std::time::Duration;

/// Prices of the cost components, all in one arbitrary unit. Serving a typical request is worth a
/// few units.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPrices {
    /// A request whose first token arrives at its target latency. The cost grows with the square of
    /// the latency.
    pub first_token_at_target: f64,
    /// A request that starts on weights replaced longer than `stale_after` ago. Callers value its
    /// answer less, but more than a late one; see docs/design/decisions.md.
    pub stale: f64,
    /// Replaced weights cost nothing for this time after the newer version was published.
    pub stale_after: Duration,
    /// A token that is prefilled although another engine has it cached.
    pub reprefill_token: f64,
    /// A gigabyte of KV cache transferred within a zone.
    pub moved_gigabyte: f64,
    /// A gigabyte of KV cache transferred between two zones of a region.
    pub moved_gigabyte_across_zones: f64,
    /// A gigabyte of KV cache transferred between regions.
    pub moved_gigabyte_across_regions: f64,
    /// Share of the tokens evicted by a fetch that are needed again and must be prefilled. A fetch
    /// evicts as many tokens from the engine's cache as it adds. The price favours
    /// sending the same prefixes to the same engine, which then keeps more of them.
    pub displaced_share: f64,
    /// Probability that a prefix without a known holder is prefilled by another engine at the same
    /// time if it is not sent to its home engine.
    pub duplicate_prefill_risk: f64,
    /// A kilobyte of a request body sent to another zone of the region.
    pub kilobyte_across_zones: f64,
    /// A kilobyte of a request body sent to another region.
    pub kilobyte_across_regions: f64,
    /// Additional latency of a request that is sent to another region.
    pub remote_delay: Duration,
    /// Share of an engine's KV memory above which further use has a cost.
    pub kv_high_share: f64,
    /// Price of the KV memory in use beyond `kv_high_share`. It is multiplied by that excess as a
    /// share of the engine's KV memory.
    pub kv_overuse: f64,
    /// An engine with all slots in use. Fewer requests cost proportionally less.
    pub occupied: f64,
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds that an engine takes to decode one token.
    pub decode_token_ms: f64,
    /// A request placed on an engine that is reserved for requests of the other kind.
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
