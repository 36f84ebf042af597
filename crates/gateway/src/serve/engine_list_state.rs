//! How current the engine list was from which an engine was chosen.

use std::time::Duration;

use derive_more::Display;
use slog::warn;

use super::accepted_request::AcceptedRequest;
use crate::gateway::Gateway;
use crate::placement::Placement;
use crate::source::{ItemKind, Revision};

/// How current this node's engine list was when a request was sent to one of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[display(
    "revision={},age_ms={},behind={is_behind},unlisted={is_unlisted}",
    revision.unwrap_or_default(),
    age.map_or(-1, |age| age.as_millis() as i64)
)]
pub(super) struct EngineListState {
    /// Revision of the source that the list reflects.
    revision: Option<Revision>,
    /// Time since the list was last confirmed current.
    age: Option<Duration>,
    /// Whether another node is known to have a newer list.
    is_behind: bool,
    /// Whether the chosen engine's entry disappeared from the list while the list was unreliable. The engine may still
    /// serve requests.
    is_unlisted: bool,
}

impl EngineListState {
    /// Reads the current state.
    pub(super) fn now(gateway: &Gateway, placement: &Placement) -> Self {
        let now = gateway.clock().now();
        let state = gateway.state();
        let replica = state.replicas.of(ItemKind::Engines);
        let engine = state.engines.get(&placement.engine);
        Self {
            revision: replica.revision,
            age: replica.freshness.age(now),
            is_behind: replica.is_behind(),
            is_unlisted: engine.is_some_and(|engine| engine.is_unlisted),
        }
    }

    /// Records the age of the list in metrics. Counts and logs the request if the list is outdated: if it is known to
    /// be behind another node's, or if its age has reached the time within which changes must take effect.
    pub(super) fn note(&self, gateway: &Gateway, request: &AcceptedRequest, placement: &Placement) {
        if let Some(age) = self.age {
            let ages = &gateway.metrics().list_age_seconds;
            ages.observe(age.as_secs_f64());
        }
        let bound = gateway.settings().propagation_limit;
        let is_old = self.age.is_some_and(|age| age >= bound);
        if !is_old && !self.is_behind {
            return;
        }
        gateway.metrics().sent_by_old_list.inc();
        let now = gateway.clock().now();
        if let Some(left_out) = gateway.old_list_sampler().admit(now) {
            warn!(gateway.log(), "sent_by_old_list"; "request" => &request.caller.id,
                "engine" => %placement.engine, "list" => %self, "left_out" => left_out);
        }
    }
}
