//! Callers and operators in the simulation.

use std::time::Duration;

use rand::Rng;
use ryerouter_core::catalog::BackEndState;
use ryerouter_core::claim::time_ordered_key;
use ryerouter_core::config::{Change, ChangeAccepted, Mutation as CatalogMutation, Resource};
use ryerouter_core::control::{ControlEvent, OperationId};
use ryerouter_core::dispatch::{DispatchEvent, Refusal, RefusalReason, RunState};
use ryerouter_core::identity::{ChangeId, ModelName, TenantName, WeightsVersion};
use ryerouter_core::prompt::{PrefixChain, PrefixChainBuilder, PrefixSalt};

use xxhash_rust::xxh3::xxh3_64;

use super::cluster_layout::{LIMITED_REQUESTS_PER_SECOND, MODEL_POOL, SERVICE_POOL, put};
use super::cluster_traffic::request_id;
use super::{Cluster, ClusterEvent, ClusterLayout, Mutation, ProcessId, Submission};
use crate::oracle::Observation;

/// Sendings of one request at most.
const MOST_TRIES: u32 = 4;
/// Time between a caller's tries.
const CALLER_RETRY: Duration = Duration::from_millis(400);
/// Shared prefixes that are hot at any time.
const HOT_PREFIXES: u64 = 5;
/// Chunks of a model's answer at most.
const MOST_CHUNKS: u64 = 12;
/// Share of requests to plain services.
const SERVICE_SHARE: f64 = 0.25;
/// Share of model requests that are marked to run at most once.
const MARKED_SHARE: f64 = 0.15;
/// Share of keys that are time-ordered.
const TIME_ORDERED_SHARE: f64 = 0.7;
/// Share of requests of the tenant that has a limit, beyond its even share.
const LIMITED_TENANT_SHARE: f64 = 0.35;
/// Share of requests whose caller leaves early.
const LEAVING_SHARE: f64 = 0.03;

impl Submission {
    /// The pool it is for.
    pub fn pool(&self) -> &'static str {
        if self.to_model {
            MODEL_POOL
        } else {
            SERVICE_POOL
        }
    }
}

impl Cluster {
    pub(super) fn next_request(&mut self) {
        if self.now_us >= self.load_ends_us() {
            return;
        }
        let submission = self.new_submission();
        self.send_submission(submission, Duration::ZERO);
        let wait = self.exponential(self.settings.request_interval);
        self.schedule(wait, ClusterEvent::NextRequest);
    }

    fn new_submission(&mut self) -> Submission {
        let to_model = !self.random.random_bool(SERVICE_SHARE);
        let marked = !to_model || self.random.random_bool(MARKED_SHARE);
        let number = self.next_submission;
        Submission {
            tenant: self.draw_tenant(),
            node: self.random.random_range(0..self.settings.nodes),
            to_model,
            at_most_once_key: marked.then(|| self.draw_key(number)),
            shared_prefix: self.prefix_epoch * HOT_PREFIXES
                + self.random.random_range(0..HOT_PREFIXES),
            question: number,
            chunks: if to_model {
                self.random.random_range(1..=MOST_CHUNKS)
            } else {
                1
            },
            earlier_tries: 0,
            open: true,
        }
    }

    /// Most callers send time-ordered keys, which keepers that restarted can judge at once.
    fn draw_key(&mut self, number: u64) -> String {
        if self.random.random_bool(TIME_ORDERED_SHARE) {
            time_ordered_key(self.now(), self.random.random())
                .as_str()
                .to_owned()
        } else {
            format!("key-{number}")
        }
    }

    fn draw_tenant(&mut self) -> usize {
        if self.random.random_bool(LIMITED_TENANT_SHARE) {
            self.layout.limited_tenant()
        } else {
            self.random.random_range(0..self.settings.tenants)
        }
    }

    fn send_submission(&mut self, submission: Submission, after: Duration) {
        let number = self.next_submission;
        self.next_submission += 1;
        self.submissions.insert(number, submission);
        self.schedule(after, ClusterEvent::Submit { submission: number });
    }

    pub(super) fn submit(&mut self, submission: u64) {
        let asked = self.submissions[&submission].clone();
        let process = ProcessId {
            node: asked.node,
            start: self.nodes[asked.node].start,
        };
        if self.nodes[asked.node].running.is_none() {
            // The connection is refused: the caller knows by itself that nothing has run.
            self.close_submission(submission);
            self.try_elsewhere(asked);
            return;
        }
        self.counters.requests += 1;
        self.observe(Observation::Submitted {
            submission,
            at_most_once_key: asked.at_most_once_key.clone(),
            tenant: ClusterLayout::tenant_name(asked.tenant),
        });
        self.submit_to(process, submission, &asked);
        if self.random.random_bool(LEAVING_SHARE) {
            let wait = Duration::from_millis(self.random.random_range(1..2_000));
            self.schedule(wait, ClusterEvent::CallerLeaves { submission });
        }
    }

    fn submit_to(&mut self, process: ProcessId, submission: u64, asked: &Submission) {
        let Some(running) = self.running(process) else {
            return;
        };
        if running.stopping || !running.ready {
            self.refuse(process, submission, refusal_before_claim(asked));
            return;
        }
        self.open_at_node(process, submission);
        if asked.at_most_once_key.is_some() {
            self.claim(process, submission);
        } else {
            self.dispatch_submission(process, submission);
        }
    }

    pub(super) fn caller_leaves(&mut self, submission: u64) {
        let Some(asked) = self.submissions.get(&submission).cloned() else {
            return;
        };
        let process = ProcessId {
            node: asked.node,
            start: self.nodes[asked.node].start,
        };
        self.leave_claim(process, submission);
        self.close_submission(submission);
        let request = request_id(submission);
        self.dispatch(process, DispatchEvent::CallerDisconnected { request });
    }

    /// Forgets a submission whose caller has got its last word.
    pub(super) fn close_submission(&mut self, submission: u64) -> Option<Submission> {
        self.submissions.remove(&submission)
    }

    pub(super) fn caller_was_refused(&mut self, submission: u64) {
        if let Some(asked) = self.close_submission(submission) {
            self.try_elsewhere(asked);
        }
    }

    /// A caller sends its request again, at another node and under the same key.
    pub(super) fn try_elsewhere(&mut self, asked: Submission) {
        if asked.earlier_tries + 1 >= MOST_TRIES {
            return;
        }
        let step = self.random.random_range(1..self.settings.nodes);
        let again = Submission {
            node: (asked.node + step) % self.settings.nodes,
            earlier_tries: asked.earlier_tries + 1,
            ..asked
        };
        self.send_submission(again, CALLER_RETRY);
    }

    /// The prefix chain that a node computes, salted by what it believes.
    pub(super) fn prefix_chain(&mut self, process: ProcessId, asked: &Submission) -> PrefixChain {
        if !asked.to_model {
            return PrefixChain::default();
        }
        let unsalted = self.has_mutation(Mutation::CacheUnsalted);
        let weights_version = self.believed_weights(process, asked);
        let tenant_name = ClusterLayout::tenant_name(if unsalted { 0 } else { asked.tenant });
        let tenant = TenantName::new(tenant_name);
        let model = ModelName::new(MODEL_POOL);
        let salt = PrefixSalt {
            tenant: &tenant,
            model: &model,
            weights_version: if unsalted {
                WeightsVersion(0)
            } else {
                weights_version
            },
            adapter: None,
        };
        let mut builder = PrefixChainBuilder::new(&salt);
        builder.push_message("system", "house style");
        builder.push_message(
            "system",
            &format!("shared document {}", asked.shared_prefix),
        );
        builder.push_message("user", &format!("question {}", asked.question));
        let mut chain = builder.finish();
        chain.weights_version = Some(weights_version);
        chain
    }

    /// The weights that a node asks for, from its configuration and the shared part of the prompt.
    fn believed_weights(&mut self, process: ProcessId, asked: &Submission) -> WeightsVersion {
        let sample = xxh3_64(&asked.shared_prefix.to_le_bytes());
        let Some(running) = self.running(process) else {
            return WeightsVersion(0);
        };
        let catalog = running.control.catalog();
        let pool = catalog.pools.get(&MODEL_POOL.into());
        pool.and_then(|pool| catalog.weights_for(pool, sample))
            .unwrap_or(WeightsVersion(0))
    }

    /// An operator changes something that does no harm: the weight of a tenant.
    pub(super) fn operator_acts(&mut self) {
        if self.now_us >= self.load_ends_us() {
            return;
        }
        let node = self.random.random_range(0..self.settings.nodes);
        self.change_tenant_weight(node);
        let wait = self.exponential(self.settings.change_interval);
        self.schedule(wait, ClusterEvent::OperatorActs);
    }

    pub(super) fn change_tenant_weight(&mut self, node: usize) {
        let tenant = self.random.random_range(0..self.settings.tenants);
        let weight = self.random.random_range(1..9);
        let resource = Resource::Tenant(self.layout.tenant(tenant, weight));
        self.send_change(node, vec![put(resource)]);
    }

    /// Sends a change to a node as an operator does.
    pub(super) fn send_change(&mut self, node: usize, mutations: Vec<CatalogMutation>) {
        let number = self.next_change;
        self.next_change += 1;
        let change = Change {
            change_id: ChangeId::new(format!("change-{number}")),
            author: "operator".to_owned(),
            mutations,
        };
        self.send_whole_change(node, number, change);
    }

    fn send_whole_change(&mut self, node: usize, number: u64, change: Change) {
        let process = ProcessId {
            node,
            start: self.nodes[node].start,
        };
        let operation = OperationId(number);
        let event = ControlEvent::OperatorChange {
            operation,
            change,
            dry_run: false,
        };
        self.control(process, event);
    }

    /// Sends the change that creates everything; the first thing an operator does.
    pub(super) fn send_first_change(&mut self, node: usize) {
        let number = self.next_change;
        self.next_change += 1;
        let change = self.layout.first_change();
        self.observe(Observation::LimitSet {
            tenant: ClusterLayout::tenant_name(self.layout.limited_tenant()),
            per_second: Some(u64::from(LIMITED_REQUESTS_PER_SECOND)),
        });
        self.send_whole_change(node, number, change);
    }

    pub(super) fn operator_answered(
        &mut self,
        operation: OperationId,
        accepted: Option<ChangeAccepted>,
    ) {
        let state = self.unanswered_states.remove(&operation.0);
        let Some(accepted) = accepted else {
            self.counters.changes_refused += 1;
            return;
        };
        let version = accepted.version.0;
        self.counters.changes_accepted += 1;
        self.observe(Observation::ChangeAccepted { version });
        match state {
            Some((back_end, BackEndState::Draining)) => self.drain_accepted(back_end, version),
            Some((back_end, BackEndState::Active)) => self.return_accepted(back_end, version),
            None => {}
        }
    }

    /// Operators race: a drain counts only if no later change has taken the back end back.
    fn drain_accepted(&mut self, back_end: usize, version: u64) {
        let returned_at = self.returned_at.get(&back_end).copied().unwrap_or_default();
        if version > returned_at {
            self.leave(back_end);
        }
    }

    fn return_accepted(&mut self, back_end: usize, version: u64) {
        let returned_at = self.returned_at.entry(back_end).or_default();
        *returned_at = version.max(*returned_at);
        let back_end = self.layout.back_end_name(back_end);
        self.observe(Observation::LeavingEnded { back_end });
    }

    /// Asks for the drain of a back end.
    pub(super) fn drain_back_end(&mut self, back_end: usize) {
        self.set_back_end_state(back_end, BackEndState::Draining);
    }

    /// Takes a drained back end back. It may get work from now on, whatever the answer.
    pub(super) fn take_back(&mut self, back_end: usize) {
        let name = self.layout.back_end_name(back_end);
        self.observe(Observation::LeavingEnded { back_end: name });
        self.set_back_end_state(back_end, BackEndState::Active);
    }

    fn set_back_end_state(&mut self, back_end: usize, state: BackEndState) {
        self.unanswered_states
            .insert(self.next_change, (back_end, state));
        let node = self.random.random_range(0..self.settings.nodes);
        let resource = Resource::BackEnd(self.layout.back_end(back_end, state));
        self.send_change(node, vec![put(resource)]);
    }
}

/// How a process refuses what it does not even look at. An earlier submission of a key that a
/// caller gives may have run, so nothing better than "unknown" is known of such a request.
fn refusal_before_claim(asked: &Submission) -> Refusal {
    let run_state = match asked.at_most_once_key {
        Some(_) => RunState::Unknown,
        None => RunState::NotRun,
    };
    Refusal {
        reason: RefusalReason::Stopping,
        run_state,
        retry_after: None,
    }
}
