//! What operators may learn of traffic.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::catalog::{BackEnd, BackEndState, Catalog, MigrationStage};
use ryerouter_core::dispatch::{AttemptOutcome, RoutingSnapshot};
use ryerouter_core::identity::{PoolName, RequestId};
use ryerouter_wire::generated::v1;

use crate::rpc::TrafficInsight;

use super::{AttemptTrace, RequestTrace, TrafficContext};

/// Length of the window of the overview, unless fewer requests are remembered.
const WINDOW: Duration = Duration::from_secs(30);
/// Shortest window that rates are taken over.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Answers from the last ended requests and from those under way.
pub(crate) struct ContextInsight {
    context: Arc<TrafficContext>,
}

impl ContextInsight {
    pub(crate) fn new(context: Arc<TrafficContext>) -> Self {
        Self { context }
    }

    /// Requests ended within the window, and its length: it is shorter when older ones of it are
    /// forgotten already.
    fn window(&self) -> (Vec<RequestTrace>, Duration) {
        let now = self.context.dispatch.now();
        let mut since = now.before(WINDOW);
        if let Some(complete_since) = self.context.traces.complete_since() {
            since = since.max(complete_since);
        }
        let length = now.since(since).max(MIN_WINDOW);
        (self.context.traces.ended_since(since), length)
    }

    fn pool_overview(
        &self,
        pool: &PoolName,
        traces: &[RequestTrace],
        window: Duration,
    ) -> v1::PoolOverview {
        let ended: Vec<&RequestTrace> = traces.iter().filter(|t| t.pool == *pool).collect();
        let mut first_tokens: Vec<Duration> = ended.iter().filter_map(|t| t.first_token).collect();
        first_tokens.sort_unstable();
        let live = self.context.live.pool(pool);
        v1::PoolOverview {
            pool: pool.to_string(),
            requests_per_second: ended.len() as f64 / window.as_secs_f64(),
            prefix_hit_rate: prefix_hit_rate(&ended),
            first_token_p50_ms: percentile_ms(&first_tokens, 50),
            first_token_p99_ms: percentile_ms(&first_tokens, 99),
            running: live.running,
            waiting: live.waiting,
        }
    }

    fn back_end_overview(
        &self,
        back_end: &BackEnd,
        snapshot: &RoutingSnapshot,
    ) -> v1::BackEndOverview {
        let live = self.context.live.back_end(&back_end.name);
        let observed = live.observation.unwrap_or_default();
        let draining = back_end.state == BackEndState::Draining || observed.draining;
        let state = if draining {
            "draining"
        } else if snapshot.leaving.contains(&back_end.name) {
            "leaving"
        } else if live.observation.is_none() {
            "unknown"
        } else {
            "active"
        };
        v1::BackEndOverview {
            back_end: back_end.name.to_string(),
            pool: back_end.pool.to_string(),
            data_centre: back_end.data_centre.to_string(),
            state: state.to_owned(),
            running: observed.running,
            waiting: observed.waiting,
            in_flight: live.in_flight,
            incarnation: observed.incarnation.0,
            weights_version: observed.weights_version.0,
        }
    }
}

impl TrafficInsight for ContextInsight {
    fn explain(&self, request: &RequestId) -> Option<v1::ExplainResponse> {
        let trace = self.context.traces.find(request)?;
        let node = self.context.settings.node.to_string();
        Some(explain_response(node, &trace))
    }

    fn overview(&self) -> v1::OverviewResponse {
        let view = self.context.view.load_full();
        let catalog = &view.snapshot.catalog;
        let (traces, window) = self.window();
        let pools = catalog.pools.keys();
        let back_ends = catalog.back_ends.values();
        v1::OverviewResponse {
            answering_node: self.context.settings.node.to_string(),
            window_ms: window.as_millis() as u32,
            config_version: catalog.version.0,
            pools: pools
                .map(|pool| self.pool_overview(pool, &traces, window))
                .collect(),
            back_ends: back_ends
                .map(|back_end| self.back_end_overview(back_end, &view.snapshot))
                .collect(),
            stages: catalog
                .stages
                .values()
                .map(|stage| stage_overview(stage, catalog))
                .collect(),
            refusals: count_refusals(&traces),
        }
    }
}

fn stage_overview(stage: &MigrationStage, catalog: &Catalog) -> v1::StageOverview {
    v1::StageOverview {
        stage: stage.name.to_string(),
        state: v1::StageState::from(stage.state).into(),
        share_permille: u32::from(catalog.stage_share(stage)),
        target_share_permille: u32::from(stage.target_share_permille),
        reason: String::new(),
    }
}

fn count_refusals(traces: &[RequestTrace]) -> Vec<v1::RefusalCount> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for refusal in traces.iter().filter_map(|trace| trace.refusal) {
        *counts.entry(refusal.reason.to_string()).or_default() += 1;
    }
    let counts = counts.into_iter();
    counts
        .map(|(reason, count)| v1::RefusalCount { reason, count })
        .collect()
}

/// Share of prompt tokens that came from caches; 0 when none were counted.
fn prefix_hit_rate(traces: &[&RequestTrace]) -> f64 {
    let attempts = traces.iter().flat_map(|trace| &trace.attempts);
    let counted = attempts.filter_map(|attempt| attempt.prompt_tokens.zip(attempt.cached_tokens));
    let (prompt, cached) = counted.fold((0_u64, 0_u64), |(prompt, cached), (p, c)| {
        (prompt + u64::from(p), cached + u64::from(c))
    });
    if prompt == 0 {
        return 0.0;
    }
    cached as f64 / prompt as f64
}

/// A percentile of sorted durations in milliseconds; 0 when there are none.
fn percentile_ms(sorted: &[Duration], percent: usize) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let value = sorted.get(last * percent / 100);
    value.map_or(0.0, |value| value.as_secs_f64() * 1_000.0)
}

fn explain_response(node: String, trace: &RequestTrace) -> v1::ExplainResponse {
    let attempts = trace.attempts.iter().enumerate();
    v1::ExplainResponse {
        request_id: trace.request.to_string(),
        node,
        tenant: trace.tenant.to_string(),
        pool: trace.pool.to_string(),
        repeatable: trace.repeatable,
        prompt_tokens: trace.prompt_tokens,
        arrived_at_ms: trace.arrived_at.as_millis(),
        queued_us: micros(trace.queued.unwrap_or_default()),
        first_token_us: trace.first_token.map(micros),
        total_us: Some(micros(trace.ended_at.since(trace.arrived_at))),
        outcome: trace.outcome.to_owned(),
        refusal_reason: text(trace.refusal.map(|refusal| refusal.reason)),
        run_state: text(trace.refusal.map(|refusal| refusal.run_state)),
        // The dispatcher does not tell which back ends it weighed.
        candidates: Vec::new(),
        attempts: attempts
            .map(|(index, attempt)| explain_attempt(index as u32 + 1, attempt))
            .collect(),
    }
}

fn explain_attempt(number: u32, attempt: &AttemptTrace) -> v1::ExplainAttempt {
    let run_state = match attempt.outcome {
        None => "",
        Some(AttemptOutcome::NotRun(_)) => "not-run",
        Some(AttemptOutcome::Completed | AttemptOutcome::Broken { .. }) => "ran",
        Some(AttemptOutcome::Unknown | AttemptOutcome::Cancelled) => "unknown",
    };
    v1::ExplainAttempt {
        number,
        attempt_id: format!("{:032x}", attempt.attempt.0),
        back_end: attempt.back_end.to_string(),
        data_centre: attempt.data_centre.to_string(),
        expected_cached_tokens: attempt.expected_cached_tokens,
        cached_tokens: attempt.cached_tokens,
        run_state: run_state.to_owned(),
        failure: attempt.detail.clone().unwrap_or_default(),
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn text(value: Option<impl ToString>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
