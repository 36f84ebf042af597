//! Cost of a candidate, term by term.

use derive_more::Display;

/// Cost of a candidate, term by term, in the unit of [`super::PlacementPrices`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Display)]
#[display(
    "late={late:.3},pauses={pauses:.3},stale={stale:.3},reread={reread:.3},moved={moved:.3},zone={zone:.3},load={load:.3}"
)]
pub struct CandidateCost {
    /// Risk of a late first token.
    pub late: f64,
    /// Risk that streams which run there pause for too long while the prompt is read.
    pub pauses: f64,
    /// Beginning on weights that were replaced a while ago.
    pub stale: f64,
    /// Tokens read although some engine holds them.
    pub reread: f64,
    /// KV cache moved.
    pub moved: f64,
    /// Bytes sent to another zone.
    pub zone: f64,
    /// Work and memory in use there.
    pub load: f64,
}

impl CandidateCost {
    /// The sum.
    pub fn total(&self) -> f64 {
        self.late + self.pauses + self.stale + self.reread + self.moved + self.zone + self.load
    }
}
