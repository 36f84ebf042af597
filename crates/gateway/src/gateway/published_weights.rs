//! Determines when weights were published.

use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::info;

use super::Gateway;
use crate::rollout::PublicationTime;
use crate::source::{ItemKind, NamedWeights};

/// A watch that was held open for this long was waiting for the change that it reports, and reports
/// it as it happens. A response that came sooner contains what had happened before the request: the
/// source answers within milliseconds, or some hundred when it is slow. The response to a question
/// that the source does not hold open contains that however late it comes. Where the source answers late, a watch
/// waited for what it took on top of that.
const MIN_WAITING_WATCH: Duration = Duration::from_millis(500);

impl Gateway {
    /// Applies the publication of weights, reported by the source. `held_since` is the send time of
    /// the watch that reported it, if the source was allowed to hold it open.
    ///
    /// The weights count as published from the earliest moment at which that may have happened, as
    /// far as this node and the others know: a node that learns of them late must not use older
    /// weights for that much longer.
    pub(super) fn apply_published_weights(
        &self,
        named: &NamedWeights,
        held_since: Option<Timestamp>,
    ) {
        let now = self.clock().now();
        let at = match self.state().has_weights_list {
            true => PublicationTime::Between(self.earliest_publication(held_since, now), now),
            false => PublicationTime::Assumed(now.before(self.settings().assumed_weights_age)),
        };
        let mut state = self.state_mut();
        if state.deadlines.note(&named.model, named.version, at) {
            info!(self.log(), "weights_named"; "model" => &named.model,
                "version" => named.version, "age_ms" => now.since(at.time()).as_millis() as u64);
        }
    }

    fn earliest_publication(&self, held_since: Option<Timestamp>, now: Timestamp) -> Timestamp {
        let waited = held_since.map(|at| now.since(at)).unwrap_or_default();
        let state = self.state();
        if waited >= MIN_WAITING_WATCH + state.source_delay {
            return now;
        }
        let replica = state.replicas.of(ItemKind::Weights);
        let as_of = replica.freshness.confirmed_at().max(replica.read_at);
        // An earlier time would make no difference: older weights may no longer be used in any
        // case.
        let settings = self.settings();
        let earliest = now.before(settings.assumed_weights_age);
        match as_of {
            Some(at) if now.since(at) > settings.weights_propagation_time => at.max(earliest),
            // The grace already allows for a delay of up to `weights_propagation_time`.
            Some(_) | None => now,
        }
    }
}
