//! Start of attempts.

use crate::dispatch::attempt_record::AttemptRecord;
use crate::dispatch::choice::Choice;
use crate::dispatch::{Assignment, DispatchAction, ResumePoint};
use crate::identity::{AttemptId, RequestId};
use crate::timestamp::Timestamp;

use super::Dispatcher;

impl Dispatcher {
    pub(super) fn start(
        &mut self,
        request: RequestId,
        choice: Choice,
        resume: Option<ResumePoint>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let attempt = self.next_attempt();
        let record = self.requests.get_mut(&request).expect("request is known");
        record.attempts_made += 1;
        record.running_attempt = Some(attempt);
        record.queued_at = None;
        let priority = record.profile.priority;
        if let Some(pool) = self.pools.get_mut(&record.profile.pool) {
            pool.note_start(now);
        }
        let resumes = match resume {
            Some(ResumePoint::SameEngine { attempt, .. }) => Some(attempt),
            Some(ResumePoint::Continue { .. }) | None => None,
        };
        let engine = self
            .engines
            .get_mut(choice.engine)
            .expect("chosen engines are known");
        engine.in_flight += 1;
        engine.add_pending(priority, choice.expectation.uncached_tokens, now);
        engine.record_weights_probe(record.weights_version, now);
        if choice.is_probe {
            engine.health.probe_sent(now);
        }
        if resumes.is_none() {
            self.cache_directory
                .record(&record.points, choice.engine, engine.epoch(), now);
        }
        let back_end = choice.back_end;
        let assignment = Assignment {
            attempt,
            number: record.attempts_made,
            back_end: back_end.name.clone(),
            address: back_end.address,
            data_centre: back_end.data_centre.clone(),
            zone: back_end.zone,
            incarnation: engine.incarnation(),
            weights_version: record.weights_version,
            // A process that has not answered yet may differ from the one that earlier attempts
            // were sent to, so nothing is expected in its cache.
            expected_cached_tokens: engine
                .incarnation()
                .map_or(0, |_| choice.expectation.known_cached),
            kv_import: choice.kv_import,
            kv_export: choice.kv_export,
            resume,
        };
        self.attempts.insert(
            attempt,
            AttemptRecord {
                request: request.clone(),
                back_end: back_end.name,
                data_centre: back_end.data_centre.clone(),
                engine: choice.engine,
                priority,
                started_at: now,
                first_token_after: None,
                incarnation: engine.incarnation(),
                resumes,
                is_probe: choice.is_probe,
                expectation: choice.expectation,
            },
        );
        actions.push(DispatchAction::Start {
            request,
            assignment: Box::new(assignment),
        });
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempts_started += 1;
        AttemptId((u128::from(self.seed) << 64) | u128::from(self.attempts_started))
    }
}
