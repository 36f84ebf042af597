//! When weights were named.

use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::info;

use super::Gateway;
use crate::rollout::NamedAt;
use crate::source::{ItemKind, NamedWeights};

/// A watch that was open for so long waited for what it brings, and brings it when it happens. An
/// answer that came sooner tells what had happened before the question: the source answers within
/// milliseconds, when it is slow within some hundred.
const MIN_WAITING_WATCH: Duration = Duration::from_millis(500);

impl Gateway {
    /// The source tells that weights were named, to a question sent at `asked_at`.
    ///
    /// They count as named from the earliest moment at which that may have happened, as far as this
    /// node and the others know: a node that hears late must not use older weights for as much
    /// longer.
    pub(super) fn take_published_weights(&self, named: &NamedWeights, asked_at: Option<Timestamp>) {
        let now = self.clock().now();
        let at = match self.state().has_weights_list {
            true => NamedAt::Between(self.earliest_publication(asked_at, now), now),
            false => NamedAt::Assumed(now.before(self.settings().assumed_weights_age)),
        };
        let mut state = self.state_mut();
        if state.deadlines.note(&named.model, named.version, at) {
            info!(self.log(), "weights_named"; "model" => &named.model,
                "version" => named.version, "age_ms" => now.since(at.time()).as_millis() as u64);
        }
    }

    fn earliest_publication(&self, asked_at: Option<Timestamp>, now: Timestamp) -> Timestamp {
        let waited = asked_at.map(|at| now.since(at)).unwrap_or_default();
        if waited >= MIN_WAITING_WATCH {
            return now;
        }
        let state = self.state();
        let replica = state.replicas.of(ItemKind::Weights);
        let known_at = replica.freshness.confirmed_at().max(replica.read_at);
        // Whatever is older makes no difference to what must be left at once.
        let settings = self.settings();
        let earliest = now.before(settings.assumed_weights_age);
        match known_at {
            Some(at) if now.since(at) > settings.weights_propagation_time => at.max(earliest),
            // The grace has room for that.
            Some(_) | None => now,
        }
    }
}
