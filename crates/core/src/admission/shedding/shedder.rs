//! Load shedder of one pool at one node.

use std::collections::BTreeMap;
use std::time::Duration;

use super::class::Class;
use super::{Capacity, Load, Outlook, Peers, Pool, Request, Ticket, Urgency, Verdict};
use crate::Timestamp;

/// Share of the target latency for which a request may queue; the rest is needed to read its prompt.
const MAX_WAIT_SHARE: f64 = 0.12;
/// Work counts as waiting for this multiple of the target latency at most.
const MAX_COUNTED_WAIT_SHARE: f64 = 4.0;
/// A node is stalled when none of its work has begun for this time, in which this many requests have come at least.
const STALL_TIME: Duration = Duration::from_millis(300);
const STALLED_REQUESTS: f64 = 3.0;
/// Bounds of the period over which the returns of refused callers are spread. The period is the time in which engines
/// begin what is asked for in one second.
const MIN_SPREAD_S: f64 = 0.5;
const MAX_SPREAD_S: f64 = 4.0;
/// A caller that returns sooner would find the same load, since nodes report three times a second.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Share of a caller's remaining time after which it must be back, so that there is still time to serve it.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Decides which requests for a pool are sent to its engines, from the load at all nodes.
#[derive(Debug, Default)]
pub struct Shedder {
    capacity: Capacity,
    classes: BTreeMap<Urgency, Class>,
}

impl Shedder {
    /// Decides on a request.
    pub fn decide(
        &mut self,
        request: &Request<'_>,
        pool: &Pool,
        peers: &Peers,
        now: Timestamp,
    ) -> Verdict {
        let verdict = self.judge(request, pool, peers, now);
        // A single large request is no reason to refuse itself, so it counts only for those that follow.
        self.note_asked(request, now);
        verdict
    }

    fn judge(
        &mut self,
        request: &Request<'_>,
        pool: &Pool,
        peers: &Peers,
        now: Timestamp,
    ) -> Verdict {
        let max_wait = request.target.mul_f64(MAX_WAIT_SHARE);
        let load = self.load(peers, now);
        let capacity = self.capacity.per_second(pool.nominal);
        let mut outlook = load.outlook(request.urgency, capacity, max_wait);
        outlook.subtract_in_service(self.in_service(&load, request.urgency, pool));
        let share = outlook.share();
        if share >= 1.0 {
            return Verdict::Admitted;
        }
        let share = self.share_of_tenant(request, share, now);
        let place = request.place();
        if place < share {
            return Verdict::Admitted;
        }
        self.capacity.note_refusal(now);
        // The requests that are refused have the places from `share` on.
        let position = (place - share) / (1.0 - share).max(f64::MIN_POSITIVE);
        Verdict::Refused {
            retry_after: retry_after(&outlook, request.remaining, position),
            share,
            outlook,
        }
    }

    /// Learns the capacity of the pool from the load at all nodes; called some times a second.
    pub fn update_capacity(&mut self, pool: &Pool, peers: &Peers, now: Timestamp) {
        if self.is_stalled(now) {
            self.capacity.pause(now);
            return;
        }
        let load = self.load(peers, now);
        let saturated_wait = pool.saturated_wait();
        let in_service = self.in_service(&load, Urgency::LEAST, pool);
        self.capacity
            .update(&load, pool.nominal, in_service, saturated_wait, now);
    }

    /// Work per second that the engines can begin, as far as learned.
    pub fn capacity(&self, pool: &Pool) -> f64 {
        self.capacity.per_second(pool.nominal)
    }

    /// Whether so much work waits at the pool that the order in which engines begin it matters.
    pub fn is_under_pressure(&self) -> bool {
        self.capacity.is_under_pressure()
    }

    /// Records that work was sent to an engine on behalf of a caller with this target latency.
    pub fn begin_wait(
        &mut self,
        urgency: Urgency,
        work: f64,
        target: Duration,
        now: Timestamp,
    ) -> Ticket {
        let time = target.mul_f64(MAX_COUNTED_WAIT_SHARE);
        let class = self.class(urgency, now);
        class.target = target;
        class.backlog.add(work, time, now)
    }

    /// Records that an engine has begun to answer.
    pub fn note_begun(&mut self, urgency: Urgency, ticket: Ticket, work: f64, now: Timestamp) {
        let class = self.class(urgency, now);
        class.backlog.remove(ticket);
        class.note_begun(ticket, work, now);
    }

    /// Records that work was given up before an engine began to answer.
    pub fn note_given_up(&mut self, urgency: Urgency, ticket: Ticket) {
        if let Some(class) = self.classes.get_mut(&urgency) {
            class.backlog.remove(ticket);
        }
    }

    /// The load that this node reports to the others: none while it can't begin any work, since its work then takes up no
    /// capacity of the engines.
    pub fn reported_load(&mut self, now: Timestamp) -> Load {
        match self.is_stalled(now) {
            true => Load::default(),
            false => self.own_load(now),
        }
    }

    /// Whether work waits at this node but none begins, for longer than can be chance.
    fn is_stalled(&self, now: Timestamp) -> bool {
        let classes = self.classes.values();
        let begun_at = classes.clone().map(|class| class.begun_at).max();
        let silence = now.since(begun_at.unwrap_or(now));
        let rate: f64 = classes
            .clone()
            .map(|class| class.requests_per_second(now))
            .sum();
        let has_waited = classes
            .clone()
            .any(|class| class.has_waited(STALL_TIME, now));
        has_waited && silence >= STALL_TIME && silence.as_secs_f64() * rate >= STALLED_REQUESTS
    }

    /// The load at this node.
    pub fn own_load(&mut self, now: Timestamp) -> Load {
        let mut load = Load::default();
        for (urgency, class) in &mut self.classes {
            load.add(*urgency, class.usage(now));
        }
        load
    }

    /// The load at this node, averaged over a time in which a node sees enough requests to stand for all.
    fn steady_load(&mut self, now: Timestamp) -> Load {
        let mut load = self.own_load(now);
        for (urgency, class) in &self.classes {
            load.set_asked(*urgency, class.steady_asked.per_second(now));
        }
        load
    }

    /// The load at all nodes.
    pub fn load(&mut self, peers: &Peers, now: Timestamp) -> Load {
        if peers.is_uninformed {
            return self.steady_load(now).times(peers.nodes.max(1));
        }
        let mut load = self.own_load(now);
        load.add_all(&peers.others);
        load
    }

    fn note_asked(&mut self, request: &Request<'_>, now: Timestamp) {
        let class = self.class(request.urgency, now);
        class.note_asked(request.work, now);
        if let Some(tenant) = request.tenant {
            class
                .tenants
                .note(tenant, request.weight, request.work, now);
        }
    }

    fn share_of_tenant(&self, request: &Request<'_>, share: f64, now: Timestamp) -> f64 {
        let class = self.classes.get(&request.urgency);
        let fair = class.zip(request.tenant).map(|(class, tenant)| {
            let asked = class.certain_asked(now);
            class.tenants.share(tenant, share, asked, now)
        });
        fair.unwrap_or(share)
    }

    /// Work of this urgency or a higher one that counts as not begun although it does not queue.
    fn in_service(&self, load: &Load, urgency: Urgency, pool: &Pool) -> f64 {
        let known = load.iter().filter(|(of_kind, _)| *of_kind <= urgency);
        let in_service = known.filter_map(|(of_kind, usage)| {
            let class = self.classes.get(&of_kind)?;
            Some(pool.in_service(usage.begun, class.mean_work()))
        });
        in_service.sum()
    }

    fn class(&mut self, urgency: Urgency, now: Timestamp) -> &mut Class {
        let class = self.classes.entry(urgency);
        class.or_insert_with(|| Class::new(now))
    }
}

/// Time until the backlog has shrunk to its limit, plus a part of the spread by the position among the refused requests,
/// so that callers return as room appears and not all at once.
fn retry_after(outlook: &Outlook, remaining: Duration, position: f64) -> Duration {
    let drain_s = outlook.drain_time().as_secs_f64();
    let excess = outlook.asked / outlook.capacity.max(f64::MIN_POSITIVE);
    let spread_s = excess.clamp(MIN_SPREAD_S, MAX_SPREAD_S);
    let limit_s = remaining.as_secs_f64() * MAX_RETRY_SHARE;
    let scale = (limit_s / (drain_s + spread_s)).min(1.0);
    let wait_s = (drain_s + spread_s * position) * scale;
    Duration::from_secs_f64(wait_s).max(MIN_RETRY_AFTER)
}
