//! Measures the delays of the KV stores and exchanges them with other nodes; see
//! docs/design/kv-sources.md.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::placement::{DelayChange, FirstToken, KvHolder, Placement, SourceDelayUpdate};

impl Gateway {
    /// Time that an engine is expected to take for the prefill of the queued prompts and of a
    /// request that is about to be sent to it; `None` for requests without a prompt.
    pub fn expected_prefill(&self, placement: &Placement) -> Option<Duration> {
        placement.weights?;
        let state = self.state();
        let queued = state.engines.get(&placement.engine)?.load().unread_tokens;
        let tokens = f64::from(queued) + f64::from(placement.unread_tokens);
        let tokens_per_ms = self.settings().prices.prefill_tokens_per_ms;
        Some(Duration::from_secs_f64(tokens / tokens_per_ms / 1e3))
    }

    /// Records that the first token of a request arrived this long `after` the request was sent to
    /// its engine, which was expected to take `expected`.
    pub fn note_first_token(
        &self,
        pool: &PoolName,
        route: &str,
        placement: &Placement,
        expected: Duration,
        after: Duration,
    ) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let has_stores = state
            .table
            .as_ref()
            .is_some_and(|table| !table.kv_stores().is_empty());
        if !has_stores {
            return;
        }
        let fetch = placement.fetch.as_ref();
        let from_store = fetch.filter(|fetch| fetch.holder == KvHolder::Store);
        let token = FirstToken {
            store: from_store.map(|fetch| fetch.address),
            excess_ms: (after.as_secs_f64() - expected.as_secs_f64()) * 1e3,
        };
        let delays = state.kv_stores.delays_mut();
        delays.note(pool, route, token, now);
    }

    /// Recomputes the delays of the KV stores from the measurements of all nodes.
    pub fn refresh_source_delays(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let Some(table) = state.table.clone() else {
            return;
        };
        let others = self.source_delays_of_others(&state, now);
        if others.is_empty() && state.kv_stores.delays().is_idle() {
            return;
        }
        let stores = table.kv_stores().iter().map(|store| store.address);
        let delays = state.kv_stores.delays_mut();
        for change in delays.refresh(stores, &others, now) {
            self.log_delay_change(&change, now);
        }
        let gauge = &self.metrics().kv_store_delay_ms;
        gauge.reset();
        for (store, delay) in state.kv_stores.delays().delays() {
            let gauge = gauge.with_label_values(&[&store.to_string()]);
            gauge.set((delay.as_secs_f64() * 1e3).round() as i64);
        }
    }

    fn log_delay_change(&self, change: &DelayChange, now: Timestamp) {
        let event = match change.is_slow {
            true => "kv_store_slow",
            false => "kv_store_quick",
        };
        let estimate = change.estimate;
        let age = change
            .measured_at
            .map(|at| now.since(at).as_millis() as u64);
        info!(self.log(), "{event}"; "store" => %change.store,
            "delay_ms" => estimate.map(|estimate| estimate.delay_ms.round() as i64),
            "ratio" => estimate.map(|estimate| two_digits(estimate.log_ratio.exp())),
            "errors" => estimate.map(|estimate| two_digits(estimate.log_ratio / estimate.error())),
            "samples" => estimate.map(|estimate| two_digits(estimate.weight)),
            "reports" => change.reports, "own_age_ms" => age);
    }

    /// The delays measured at the nodes of this zone, for the other zones.
    pub(super) fn source_delays_of_zone(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<SourceDelayUpdate> {
        let near: Vec<_> = state.peers.source_delays(now).copied().collect();
        state.kv_stores.delays().updates_with(&near, now)
    }

    /// What other nodes report. In a wide zone, in which nodes hear few others, its reader sums up
    /// the reports.
    fn source_delays_of_others(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<SourceDelayUpdate> {
        let own_zone = &self.settings().identity.zone;
        let reader_sums = state.peers.is_wide() && self.reader(state, now).is_some();
        let near = state.peers.source_delays(now).filter(|_| !reader_sums);
        let is_large = state.peers.is_large();
        let zones = state.zone_traffic.source_delays(now);
        let zones = zones.filter(|(zone, _)| is_large && (reader_sums || *zone != own_zone));
        near.chain(zones.map(|(_, update)| update))
            .copied()
            .collect()
    }
}

fn two_digits(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
