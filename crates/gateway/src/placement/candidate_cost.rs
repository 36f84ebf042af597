//! Cost of placing a request on a candidate engine, by component.

use derive_more::Display;

/// Cost of placing a request on a candidate engine, by component, in the unit of
/// [`super::PlacementPrices`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Display)]
#[display(
    "late={late:.3},pauses={pauses:.3},stale={stale:.3},reread={reread:.3},moved={moved:.3},zone={zone:.3},load={load:.3}"
)]
pub struct CandidateCost {
    /// Expected cost of a late first token.
    pub late: f64,
    /// Expected cost of pauses in streams that already run on the engine, caused by prefilling the
    /// prompt.
    pub pauses: f64,
    /// Cost of starting on weights that were replaced some time ago.
    pub stale: f64,
    /// Cost of prefilling tokens that another engine already caches, or may be prefilling at the
    /// same time.
    pub reread: f64,
    /// Cost of transferring KV cache.
    pub moved: f64,
    /// Cost of sending the request body to another zone.
    pub zone: f64,
    /// Cost of the slots and KV memory in use on the engine. Includes surcharges for engines that are
    /// unhealthy, unlisted or recently refused a request.
    pub load: f64,
}

impl CandidateCost {
    /// Cost of the waiting time of this request and of others, and of repeated prefill. It compares
    /// ways to get a prefix into the same engine, which displace as much from its cache.
    pub fn prefix_cost(&self) -> f64 {
        self.late + self.pauses + self.reread
    }

    /// Sum of all components.
    pub fn total(&self) -> f64 {
        self.late + self.pauses + self.stale + self.reread + self.moved + self.zone + self.load
    }
}
