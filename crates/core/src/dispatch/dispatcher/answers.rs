//! Observations from answers and load reports of engines.

use crate::dispatch::EngineObservation;
use crate::identity::{AttemptId, BackEndName, RequestId};
use crate::placement::EngineKey;
use crate::timestamp::Timestamp;

use super::Dispatcher;

impl Dispatcher {
    pub(super) fn record_answer(
        &mut self,
        attempt: AttemptId,
        observation: &EngineObservation,
        now: Timestamp,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.incarnation = Some(observation.incarnation);
        let key = record.engine;
        let request = record.request.clone();
        self.data_centre_latencies
            .observe(&record.data_centre, now.since(record.started_at));
        self.observe_answer(key, &request, observation, now);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.health.answered();
        // The engine may have restarted since the attempt was sent. The process that answered
        // caches the prefix, so the prefix is recorded again under its cache generation.
        if let Some(record) = self.requests.get(&request) {
            self.cache_directory
                .record(&record.points, key, engine.epoch(), now);
        }
    }

    /// Updates the state of the engine and of its pool from the load that an answer states.
    pub(super) fn observe_answer(
        &mut self,
        key: EngineKey,
        request: &RequestId,
        observation: &EngineObservation,
        now: Timestamp,
    ) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.observe_answer(observation, now);
        let threshold = self.parameters.waiting_threshold;
        let in_flight = engine.in_flight;
        engine
            .window
            .observe(observation.waiting, threshold, in_flight, now);
        let pool = self
            .requests
            .get(request)
            .and_then(|record| self.pools.get_mut(&record.profile.pool));
        if let (Some(pool), Some(share)) = (pool, engine.own_share()) {
            pool.observe_share(share);
        }
    }

    pub(super) fn record_first_token(&mut self, attempt: AttemptId, now: Timestamp) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if record.first_token_after.is_some() {
            return;
        }
        record.first_token_after = Some(now.since(record.started_at));
        if let Some(engine) = self.engines.get_mut(record.engine) {
            engine.remove_pending(record.priority, record.expectation.uncached_tokens);
        }
    }

    pub(super) fn record_load_report(
        &mut self,
        back_end: &BackEndName,
        observation: &EngineObservation,
        now: Timestamp,
    ) {
        let key = self.engines.find(back_end);
        if let Some(engine) = key.and_then(|key| self.engines.get_mut(key)) {
            engine.observe_report(observation, now);
        }
    }
}
