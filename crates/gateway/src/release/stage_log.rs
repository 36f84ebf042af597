//! Log entries and metrics of a release that this node directs.

use ryerouter_core::Timestamp;
use ryerouter_core::release::{Counts, Fleet, Order, Progress, Stage};
use slog::{info, warn};

use crate::gateway::Gateway;

/// Logs that a release has entered another stage, and counts the change in the metrics.
pub(super) fn log_stage(
    gateway: &Gateway,
    progress: &Progress,
    before: Stage,
    fleet: &Fleet,
    counts: &Counts,
    now: Timestamp,
) {
    let (log, order) = (gateway.log(), progress.order());
    let (target, present) = (counts.target(), counts.present());
    info!(log, "release_stage"; "pool" => %order.pool, "target" => &order.target,
        "from" => %before, "to" => %progress.stage(),
        "elapsed_ms" => progress.elapsed(now).as_millis() as u64,
        "share" => progress.grant(0, 0, 0, now).share,
        "target_answers" => target.answers, "target_failed" => target.failed,
        "target_slow" => target.slow, "present_answers" => present.answers,
        "present_failed" => present.failed, "present_slow" => present.slow,
        "target_engines" => fleet.target, "present_engines" => fleet.present,
        "running_at_present" => fleet.running_at_present);
    if let Some(rollback) = progress.rollback() {
        warn!(log, "release_verdict"; "pool" => %order.pool, "target" => &order.target,
            "verdict" => %progress.stage(), "why" => %rollback);
    }
    let stage = progress.stage().to_string();
    let labels = [order.pool.as_str(), &order.target, &stage];
    let stages = &gateway.metrics().release_stages;
    stages.with_label_values(&labels).inc();
}

/// Updates the metrics for the answers of both versions.
pub(super) fn record_answers(gateway: &Gateway, order: &Order, counts: &Counts) {
    let answers = &gateway.metrics().release_answers;
    for (version, tally) in [("target", counts.target()), ("present", counts.present())] {
        let good = tally.answers.saturating_sub(tally.bad());
        let judged = [
            ("good", good),
            ("failed", tally.failed),
            ("slow", tally.slow),
        ];
        for (judgement, count) in judged {
            let labels = [order.pool.as_str(), version, judgement];
            answers.with_label_values(&labels).set(i64::from(count));
        }
    }
}
