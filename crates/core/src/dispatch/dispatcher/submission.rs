//! Submission of new requests.

use std::time::Duration;

use crate::catalog::PoolKind;
use crate::dispatch::request_record::RequestRecord;
use crate::dispatch::{DispatchAction, RefusalReason, RequestProfile};
use crate::placement::PrefixWidth;
use crate::timestamp::Timestamp;

use super::Dispatcher;
use super::finishing::refuse_unadmitted;

impl Dispatcher {
    pub(super) fn admit(
        &mut self,
        profile: RequestProfile,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let admitted = match &mut self.tenant_limiter {
            Some(limiter) => limiter.admit(profile, now, actions),
            None => Some(profile),
        };
        self.submit_all(admitted, now, actions);
    }

    pub(super) fn submit_all(
        &mut self,
        profiles: impl IntoIterator<Item = RequestProfile>,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        for profile in profiles {
            self.submit(profile, now, actions);
        }
    }

    fn submit(
        &mut self,
        profile: RequestProfile,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let request = profile.request.clone();
        if self.requests.contains_key(&request) {
            actions.push(refuse_unadmitted(request, RefusalReason::Rejected));
            return;
        }
        let Some(pool) = self.snapshot.catalog.pools.get(&profile.pool) else {
            actions.push(refuse_unadmitted(request, RefusalReason::NoSuchPool));
            return;
        };
        let weights_version = match pool.kind {
            PoolKind::Model {
                weights_version, ..
            } => profile.prefix.weights_version.or(Some(weights_version)),
            PoolKind::Service => None,
        };
        self.first_request_at.get_or_insert(now);
        let mut record = RequestRecord::new(profile, weights_version);
        self.count_prefixes(&mut record, now);
        let must_wait = self.pools[&record.profile.pool]
            .queue
            .must_queue(record.profile.priority);
        self.requests.insert(request.clone(), record);
        if must_wait {
            self.enqueue(request, Duration::ZERO, now, actions);
        } else {
            self.place(request, now, actions);
        }
    }

    /// Counts the request in the rates of its prefixes and derives the number of engines for each
    /// prefix.
    fn count_prefixes(&mut self, record: &mut RequestRecord, now: Timestamp) {
        let pool = &self.pools[&record.profile.pool];
        let is_warm = self
            .first_request_at
            .is_some_and(|first| now.since(first) >= self.parameters.warm_up);
        let shared = record.points.shared();
        record.is_recurring = shared
            .last()
            .is_some_and(|point| self.prefix_rates.knows(point.hash));
        for point in shared {
            self.prefix_rates.count(point.hash, now);
        }
        if !self.parameters.mechanisms.prefix_widths {
            return;
        }
        record.widths = shared
            .iter()
            .map(|point| {
                if !is_warm {
                    return PrefixWidth::unlimited(point.hash);
                }
                let concurrency = pool.concurrency(self.prefix_rates.per_second(point.hash, now));
                let per_engine = self.parameters.requests_per_engine;
                PrefixWidth::for_concurrency(point.hash, concurrency, per_engine)
            })
            .collect();
    }
}
