//! Judges a step of a stage.

use std::time::Duration;

use crate::catalog::RollbackRule;

use super::{MigrationSettings, SideMeasurement, StageVerdict};

const PERMILLE: u64 = 1_000;

/// Judges what was measured at the target: by the operator's bounds first, then against the source
/// where that has seen enough requests to compare.
pub fn judge(
    rule: &RollbackRule,
    source: &SideMeasurement,
    target: &SideMeasurement,
    settings: &MigrationSettings,
) -> StageVerdict {
    if target.attempts < settings.min_attempts {
        return StageVerdict::TooFew;
    }
    if let Some(found) = broken_bound(rule, target) {
        return StageVerdict::Broken(found);
    }
    if source.attempts < settings.min_attempts {
        return StageVerdict::Good;
    }
    match worse_than(source, target, settings) {
        Some(found) => StageVerdict::Worse(found),
        None => StageVerdict::Good,
    }
}

fn broken_bound(rule: &RollbackRule, target: &SideMeasurement) -> Option<String> {
    let p99 = target.first_token_p99().map(millis);
    if let (Some(bound), Some(p99)) = (rule.max_first_token_p99_ms, p99)
        && p99 > u64::from(bound)
    {
        return Some(format!("first token p99 {p99} ms above {bound} ms"));
    }
    let errors = target.error_permille();
    if let Some(bound) = rule.max_error_permille
        && errors > u64::from(bound)
    {
        return Some(format!("errors {errors} permille above {bound}"));
    }
    if let (Some(bound), Some(hit_rate)) = (rule.min_hit_rate_permille, target.hit_rate_permille())
        && hit_rate < u64::from(bound)
    {
        return Some(format!("hit rate {hit_rate} permille below {bound}"));
    }
    None
}

fn worse_than(
    source: &SideMeasurement,
    target: &SideMeasurement,
    settings: &MigrationSettings,
) -> Option<String> {
    if let (Some(there), Some(here)) = (target.first_token_p99(), source.first_token_p99()) {
        let (there, here) = (millis(there), millis(here));
        if there * PERMILLE > here * settings.max_first_token_ratio_permille {
            return Some(format!(
                "first token p99 {there} ms, at the source {here} ms"
            ));
        }
    }
    if let (Some(there), Some(here)) = (target.hit_rate_permille(), source.hit_rate_permille())
        && there * PERMILLE < here * settings.min_hit_rate_ratio_permille
    {
        return Some(format!("hit rate {there} permille, at the source {here}"));
    }
    let (there, here) = (target.error_permille(), source.error_permille());
    (there > here + settings.max_more_errors_permille)
        .then(|| format!("errors {there} permille, at the source {here}"))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
