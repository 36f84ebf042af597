//! Why attempts went to engines that had less of their prompt cached than another.

use std::time::Duration;

/// Why an attempt went to an engine that had less of its prompt cached than another live engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementMiss {
    /// The best holder had so much more to compute that the chosen engine answers no later.
    BusyHolder,
    /// The best holder would have answered sooner.
    FreeHolder,
}

/// An engine as a place for one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct EnginePlace {
    /// Prompt tokens it has cached.
    pub cached_tokens: u32,
    /// Prompt tokens it has yet to compute for others.
    pub queued_tokens: u32,
    /// Time one prompt token takes there.
    pub per_token: Duration,
}

impl EnginePlace {
    fn time(&self, prompt_tokens: u32) -> Duration {
        let missing = prompt_tokens.saturating_sub(self.cached_tokens);
        self.per_token * (missing + self.queued_tokens)
    }
}

/// Judges a choice; `None` when the chosen engine had as much cached as the best holder.
pub(super) fn judge(
    prompt_tokens: u32,
    chosen: EnginePlace,
    best_holder: EnginePlace,
) -> Option<PlacementMiss> {
    if best_holder.cached_tokens <= chosen.cached_tokens {
        return None;
    }
    if best_holder.time(prompt_tokens) < chosen.time(prompt_tokens) {
        Some(PlacementMiss::FreeHolder)
    } else {
        Some(PlacementMiss::BusyHolder)
    }
}
