//! Handling of ended attempts, and the estimates updated from them.

use crate::dispatch::attempt_record::AttemptRecord;
use crate::dispatch::engine_record::EngineRecord;
use crate::dispatch::pool_state::PoolState;
use crate::dispatch::{AttemptOutcome, DispatchAction, EngineObservation, NotRunReason};
use crate::identity::AttemptId;
use crate::timestamp::Timestamp;

use super::Dispatcher;

/// Minimum number of computed prompt tokens for an attempt to be a sample of the prefill speed.
const MIN_SPEED_SAMPLE_TOKENS: u32 = 1_000;

/// Minimum share of the expected tokens that must have been cached for the prefix to count as
/// found.
const MIN_HIT_SHARE: f64 = 0.9;

impl Dispatcher {
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(mut ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.release_capacity(&ended);
        if let Some(observation) = observation {
            self.observe_answer(ended.engine, &ended.request, &observation, now);
            // A refusal may come from another incarnation, so it does not identify the one that ran
            // the attempt.
            if !matches!(outcome, AttemptOutcome::NotRun(_)) {
                ended.incarnation = Some(observation.incarnation);
            }
        }
        self.record_health(&ended, outcome, now);
        self.update_estimates(&ended, outcome, observation, now);
        let request = ended.request.clone();
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.running_attempt = None;
        let pool = record.profile.pool.clone();
        self.finish_or_retry(request, attempt, ended, outcome, now, actions);
        self.serve_queue(&pool, now, actions);
    }

    pub(super) fn release_capacity(&mut self, ended: &AttemptRecord) {
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        engine.in_flight = engine.in_flight.saturating_sub(1);
        if ended.first_token_after.is_none() {
            engine.remove_pending(ended.priority, ended.expectation.uncached_tokens);
        }
    }

    pub(super) fn record_health(
        &mut self,
        ended: &AttemptRecord,
        outcome: AttemptOutcome,
        now: Timestamp,
    ) {
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed => engine.health.answered(),
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed) => engine.health.unreachable(now),
            AttemptOutcome::Broken { .. } | AttemptOutcome::Unknown => engine.health.failed(now),
            AttemptOutcome::NotRun(NotRunReason::Overloaded) => {
                engine.health.answered();
                engine.window.refused(now);
            }
            AttemptOutcome::NotRun(_) => engine.health.answered(),
            AttemptOutcome::Cancelled if ended.is_probe => engine.health.probe_inconclusive(now),
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Updates estimates by comparing the expectation of an attempt with its result.
    fn update_estimates(
        &mut self,
        ended: &AttemptRecord,
        outcome: AttemptOutcome,
        observation: Option<EngineObservation>,
        now: Timestamp,
    ) {
        let Some(record) = self.requests.get(&ended.request) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(ended.engine) else {
            return;
        };
        match outcome {
            AttemptOutcome::NotRun(_) => self.cache_directory.remove(&record.points, ended.engine),
            AttemptOutcome::Completed => {
                let pool = self
                    .pools
                    .get_mut(&record.profile.pool)
                    .expect("pool is known");
                pool.count_completion(now.since(ended.started_at), now);
                self.retry_budget.earn();
                if observation.is_none() {
                    // An engine that reports no load is assumed to have no waiting requests. This
                    // attempt no longer counts in `in_flight`, but it did while the engine ran it.
                    engine.window.observe(0, 0, engine.in_flight + 1, now);
                }
                if let Some(exported) = ended.expectation.exported {
                    self.exported_prefixes.record_export(exported, now);
                }
                if ended.resumes.is_some() {
                    return;
                }
                self.cache_directory
                    .record(&record.points, ended.engine, engine.epoch(), now);
                let cached = observation.and_then(|observation| observation.cached_tokens);
                if let Some(cached) = cached {
                    let prompt = observation
                        .and_then(|observation| observation.prompt_tokens)
                        .unwrap_or(record.profile.prompt_tokens);
                    update_cache_estimates(ended, engine, pool, cached, prompt);
                    if let Some((prefix, tokens)) = ended.expectation.imported
                        && cached < tokens
                    {
                        self.exported_prefixes.record_missing(prefix);
                    }
                }
            }
            AttemptOutcome::Broken { .. } | AttemptOutcome::Unknown | AttemptOutcome::Cancelled => {
            }
        }
    }
}

fn update_cache_estimates(
    ended: &AttemptRecord,
    engine: &mut EngineRecord,
    pool: &mut PoolState,
    cached: u32,
    prompt: u32,
) {
    let expectation = &ended.expectation;
    let uncached_tokens = prompt.saturating_sub(cached);
    pool.mean_uncached_tokens.add(f64::from(uncached_tokens));
    if let (Some((age, epoch)), None) = (expectation.known_age, expectation.imported) {
        let expected = f64::from(expectation.known_cached) * MIN_HIT_SHARE;
        if f64::from(cached) >= expected {
            engine.retention.found(age);
        } else if epoch == engine.epoch() {
            engine.retention.missed(age);
        }
    }
    if let Some(range) = expectation.uncertain_range {
        let hit_share = range.hit_share(cached);
        pool.cache_hit_estimate
            .observe(range.priority, range.tokens(), hit_share);
    }
    // Prefill speed is measured only if neither queued tokens nor an import delayed the first token.
    let was_idle = expectation.tokens_ahead < 1.0 && expectation.imported.is_none();
    if let Some(first_token_after) = ended.first_token_after
        && was_idle
        && uncached_tokens >= MIN_SPEED_SAMPLE_TOKENS
        && !first_token_after.is_zero()
    {
        let speed = f64::from(uncached_tokens) / first_token_after.as_secs_f64();
        pool.prefill_speed.observe(speed);
    }
}
