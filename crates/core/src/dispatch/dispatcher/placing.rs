//! Placement of requests on engines.

use crate::dispatch::choice::{Choice, NoChoice};
use crate::dispatch::engine_chooser::EngineChooser;
use crate::dispatch::request_record::RequestRecord;
use crate::dispatch::{DispatchAction, Priority, RefusalReason};
use crate::identity::{DataCentreName, RequestId};
use crate::placement::preferred_data_centre;
use crate::timestamp::Timestamp;

use super::Dispatcher;

impl Dispatcher {
    /// Starts an attempt on the best engine, queues the request, or refuses it.
    pub(super) fn place(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        match self.choose(&request, now) {
            Ok(choice) => self.start_unless_late(request, choice, now, actions),
            Err(NoChoice::NoRoom { first_token_in }) => {
                self.enqueue(request, first_token_in, now, actions);
            }
            Err(NoChoice::Unavailable { until }) => {
                let wait = until.since(now);
                if wait <= self.parameters.max_unavailable_wait {
                    self.enqueue(request, wait, now, actions);
                } else {
                    self.refuse(request, RefusalReason::NoBackEnd, wait, actions);
                }
            }
            Err(NoChoice::NoEngine) => self.refuse_without_engine(request, actions),
        }
    }

    /// Starts an attempt on the chosen engine, or refuses the request if even an optimistic estimate
    /// of the time to first token, from recent requests, exceeds its deadline.
    pub(super) fn start_unless_late(
        &mut self,
        request: RequestId,
        choice: Choice,
        now: Timestamp,
        actions: &mut Vec<DispatchAction>,
    ) {
        let optimistic_wait = choice
            .first_token_in
            .mul_f64(self.parameters.optimistic_wait_share);
        let record = &self.requests[&request];
        let deadline = record.first_token_deadline();
        let is_late = deadline.is_some_and(|deadline| now.after(optimistic_wait) > deadline);
        if is_late && self.pools[&record.profile.pool].has_valid_estimates(now) {
            let retry_after = choice.first_token_in;
            self.refuse(request, RefusalReason::Deadline, retry_after, actions);
            return;
        }
        let resume = self.requests[&request].continuation();
        self.start(request, choice, resume, now, actions);
    }

    /// Chooses an engine for a request, without changing any state.
    pub(super) fn choose(&self, request: &RequestId, now: Timestamp) -> Result<Choice, NoChoice> {
        let record = &self.requests[request];
        let pool = &self.pools[&record.profile.pool];
        let configured = self.snapshot.catalog.pools.get(&record.profile.pool);
        let kv_store = configured.and_then(|pool| pool.kv_store);
        let chooser = EngineChooser {
            parameters: &self.parameters,
            engines: &self.engines,
            pool,
            cache_directory: &self.cache_directory,
            exported_prefixes: &self.exported_prefixes,
            kv_store: kv_store.filter(|_| self.parameters.mechanisms.kv_store),
            data_centre_latencies: &self.data_centre_latencies,
            zone: &self.zone,
            now,
        };
        let priority = self.effective_priority(record, now);
        chooser.choose(record, priority, &self.data_centres(record))
    }

    /// Batch requests that have delivered chunks or waited long are treated as interactive, so that
    /// they never starve.
    fn effective_priority(&self, record: &RequestRecord, now: Timestamp) -> Priority {
        if record.has_delivered_chunks() {
            return Priority::Interactive;
        }
        let promotion = self.parameters.queue.batch_promotion;
        let has_waited = |queued_at: Timestamp| now.since(queued_at) >= promotion;
        if record.queued_at.is_some_and(has_waited) {
            Priority::Interactive
        } else {
            record.profile.priority
        }
    }

    /// Groups of data centres to try, in order. If a migration stage applies, the first group is
    /// the data centre that it selects, and the others are used only if that has no engine with
    /// room. Otherwise all nearby data centres form the first group, because using a cached prefix
    /// saves more time than choosing the data centre with the lowest latency.
    fn data_centres(&self, record: &RequestRecord) -> [Vec<DataCentreName>; 2] {
        let profile = &record.profile;
        let staged = preferred_data_centre(
            &self.snapshot.catalog,
            &profile.pool,
            &profile.tenant,
            &profile.prefix,
            profile.request.as_str(),
        );
        let is_preferred = |name: &&DataCentreName| match staged {
            Some(staged) => *name == staged.first,
            None => self.data_centre_latencies.to(name) <= self.parameters.near_data_centre_latency,
        };
        let index = &self.pools[&profile.pool].index;
        let excluded = staged.and_then(|staged| staged.excluded);
        let (first, others): (Vec<_>, Vec<_>) = index
            .data_centres()
            .filter(|name| Some(*name) != excluded)
            .partition(is_preferred);
        [first, others].map(|group| group.into_iter().cloned().collect())
    }
}
