//! Nodes that share a pool of engines, which begin work at a fixed rate, the most urgent first.
//!
//! Nodes report three times a second; other zones hear of it one interval later. Nodes that are cut off
//! hear nobody, and nobody hears them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::admission::shedding::{
    Load, Peers, Pool, Request, Shedder, Ticket, Urgency, Usage, Verdict,
};
use ryerouter_core::identity::TenantName;

const STEP: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const ZONES: usize = 3;
pub const NODES: usize = 89;
/// Work per second that the engines are configured for.
pub const NOMINAL: f64 = 1_800_000.0;
const POOL: Pool = Pool {
    nominal: NOMINAL,
    parallelism: 1.0,
    shortest_target: Duration::from_millis(400),
};

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub route_priority: u8,
    pub mean_work: f64,
    pub target: Duration,
    pub timeout: Duration,
    /// Share of the work asked for.
    pub share: f64,
}

impl Kind {
    pub fn urgency(&self) -> Urgency {
        Urgency {
            tenant: 1,
            route: self.route_priority,
        }
    }
}

/// Long prompts that may wait for a second, and short urgent questions.
pub const KINDS: [Kind; 2] = [
    Kind {
        route_priority: 2,
        mean_work: 4_000.0,
        target: Duration::from_millis(1_200),
        timeout: Duration::from_secs(4),
        share: 0.8,
    },
    Kind {
        route_priority: 0,
        mean_work: 700.0,
        target: Duration::from_millis(400),
        timeout: Duration::from_secs(12),
        share: 0.2,
    },
];

/// Outcomes of requests, by tenant or kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    pub asked: u32,
    pub refused: u32,
    pub in_time: u32,
    pub late: u32,
    /// Ended at the caller's deadline without having begun.
    pub expired: u32,
    /// Work of the requests that began within their target.
    pub work_in_time: f64,
}

struct Sent {
    node: usize,
    ticket: Ticket,
    work: f64,
    kind: usize,
    tenant: usize,
    at: Timestamp,
}

struct Node {
    shedder: Shedder,
    reported: Load,
    reported_to_zones: Load,
    peers: Peers,
}

pub struct World {
    nodes: Vec<Node>,
    tenants: Vec<(TenantName, f64)>,
    /// Work per second that the engines begin.
    pub capacity: f64,
    /// How many times its usual share each tenant asks for.
    pub demand_factors: Vec<f64>,
    /// Whether requests are sent without a decision.
    pub is_open: bool,
    /// Share of the nodes that are cut off from all others.
    pub cut_share: f64,
    /// Share of the nodes whose requests reach no engine and wait until their deadline.
    pub stalled_share: f64,
    /// Whether these report their load all the same, as earlier builds do.
    pub stalled_report: bool,
    /// Share of the nodes that report many times as much waiting work as they have.
    pub wrong_share: f64,
    /// Outcomes of requests at the other nodes.
    pub unstalled: Outcomes,
    /// Share of all requests that wait until their deadline, as at an engine that hangs.
    pub hanging_share: f64,
    /// Requests that wait until their deadline.
    held: Vec<Sent>,
    /// Requests that wait, by urgency and order.
    queue: BTreeMap<(u8, u64), Sent>,
    next_number: u64,
    credit: f64,
    pub now: Timestamp,
    report_at: Timestamp,
    random: ChaCha8Rng,
    pub by_tenant: Vec<Outcomes>,
    pub by_kind: Vec<Outcomes>,
}

impl World {
    /// `weights` are the usual shares of the tenants, and their weights.
    pub fn new(weights: &[f64], capacity: f64, seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let node = |_| Node {
            shedder: Shedder::default(),
            reported: Load::default(),
            reported_to_zones: Load::default(),
            peers: Peers {
                nodes: NODES,
                ..Peers::alone()
            },
        };
        let total: f64 = weights.iter().sum();
        let tenant = |(index, weight): (usize, &f64)| {
            (TenantName::new(format!("tenant-{index}")), weight / total)
        };
        Self {
            nodes: (0..NODES).map(node).collect(),
            tenants: weights.iter().enumerate().map(tenant).collect(),
            capacity,
            demand_factors: vec![1.0; weights.len()],
            is_open: false,
            cut_share: 0.0,
            stalled_share: 0.0,
            stalled_report: false,
            wrong_share: 0.0,
            unstalled: Outcomes::default(),
            hanging_share: 0.0,
            held: Vec::new(),
            queue: BTreeMap::new(),
            next_number: 0,
            credit: 0.0,
            now,
            report_at: now,
            random: ChaCha8Rng::seed_from_u64(seed),
            by_tenant: vec![Outcomes::default(); weights.len()],
            by_kind: vec![Outcomes::default(); KINDS.len()],
        }
    }

    /// Runs with a usual demand of `per_second`, and returns the outcomes of this time.
    pub fn run(&mut self, duration: Duration, per_second: f64) -> Outcomes {
        let before = self.total();
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(STEP);
            if self.now >= self.report_at {
                self.report_at = self.now.after(REPORT_INTERVAL);
                self.report();
            }
            self.ask_all(per_second * STEP.as_secs_f64());
            self.begin_work();
            self.expire();
        }
        let after = self.total();
        Outcomes {
            asked: after.asked - before.asked,
            refused: after.refused - before.refused,
            in_time: after.in_time - before.in_time,
            late: after.late - before.late,
            expired: after.expired - before.expired,
            work_in_time: after.work_in_time - before.work_in_time,
        }
    }

    fn total(&self) -> Outcomes {
        let mut total = Outcomes::default();
        for outcomes in &self.by_kind {
            total.asked += outcomes.asked;
            total.refused += outcomes.refused;
            total.in_time += outcomes.in_time;
            total.late += outcomes.late;
            total.expired += outcomes.expired;
            total.work_in_time += outcomes.work_in_time;
        }
        total
    }

    fn ask_all(&mut self, work: f64) {
        for (kind, properties) in KINDS.iter().enumerate() {
            for tenant in 0..self.tenants.len() {
                let share = self.tenants[tenant].1 * self.demand_factors[tenant];
                let count = work * properties.share * share / properties.mean_work;
                let extra = self.random.random_bool(count.fract());
                for _ in 0..count as u32 + u32::from(extra) {
                    self.ask(kind, tenant);
                }
            }
        }
    }

    fn ask(&mut self, kind: usize, tenant: usize) {
        let properties = KINDS[kind];
        let size = self.random.random_range(0.3..1.7);
        let work = properties.mean_work * size;
        let index = self.random.random_range(0..NODES);
        let is_stalled = self.is_stalled(index);
        let request = Request {
            work,
            urgency: properties.urgency(),
            tenant: Some(&self.tenants[tenant].0),
            weight: self.tenants[tenant].1,
            target: properties.target,
            remaining: properties.timeout,
            waited: Duration::ZERO,
            draw: self.random.random(),
        };
        let node = &mut self.nodes[index];
        let verdict = node.shedder.decide(&request, &POOL, &node.peers, self.now);
        self.by_kind[kind].asked += 1;
        self.by_tenant[tenant].asked += 1;
        self.unstalled.asked += u32::from(!is_stalled);
        if verdict != Verdict::Admitted && !self.is_open {
            self.by_kind[kind].refused += 1;
            self.by_tenant[tenant].refused += 1;
            self.unstalled.refused += u32::from(!is_stalled);
            return;
        }
        let shedder = &mut node.shedder;
        let ticket = shedder.begin_wait(properties.urgency(), work, properties.target, self.now);
        let key = (properties.route_priority, self.next_number);
        self.next_number += 1;
        let sent = Sent {
            node: index,
            ticket,
            work,
            kind,
            tenant,
            at: self.now,
        };
        let hangs = self.hanging_share > 0.0 && self.random.random_bool(self.hanging_share);
        match is_stalled || hangs {
            true => self.held.push(sent),
            false => {
                self.queue.insert(key, sent);
            }
        }
    }

    fn is_stalled(&self, index: usize) -> bool {
        (index as f64) < self.stalled_share * NODES as f64
    }

    /// All requests that wait until their deadline are given up, as their connections end.
    pub fn release_held(&mut self) {
        for sent in std::mem::take(&mut self.held) {
            self.give_up(&sent);
        }
    }

    fn give_up(&mut self, sent: &Sent) {
        let urgency = KINDS[sent.kind].urgency();
        let shedder = &mut self.nodes[sent.node].shedder;
        shedder.note_given_up(urgency, sent.ticket);
        self.by_kind[sent.kind].expired += 1;
        self.by_tenant[sent.tenant].expired += 1;
    }

    fn begin_work(&mut self) {
        self.credit += self.capacity * STEP.as_secs_f64();
        while let Some(first) = self.queue.first_entry() {
            if first.get().work > self.credit {
                return;
            }
            let sent = first.remove();
            self.credit -= sent.work;
            let shedder = &mut self.nodes[sent.node].shedder;
            let urgency = KINDS[sent.kind].urgency();
            shedder.note_begun(urgency, sent.ticket, sent.work, self.now);
            let is_in_time = self.now.since(sent.at) <= KINDS[sent.kind].target;
            for outcomes in [
                &mut self.by_kind[sent.kind],
                &mut self.by_tenant[sent.tenant],
            ] {
                match is_in_time {
                    true => {
                        outcomes.in_time += 1;
                        outcomes.work_in_time += sent.work;
                    }
                    false => outcomes.late += 1,
                }
            }
            self.unstalled.in_time += u32::from(is_in_time);
            self.unstalled.work_in_time += if is_in_time { sent.work } else { 0.0 };
        }
        // Idle engines do not save up work.
        self.credit = 0.0;
    }

    fn expire(&mut self) {
        let now = self.now;
        let is_over = |sent: &Sent| now.since(sent.at) >= KINDS[sent.kind].timeout;
        let over = self.queue.iter().filter(|(_, sent)| is_over(sent));
        let over: Vec<_> = over.map(|(key, _)| *key).collect();
        for key in over {
            if let Some(sent) = self.queue.remove(&key) {
                self.give_up(&sent);
            }
        }
        let held = std::mem::take(&mut self.held);
        let (over, held): (Vec<_>, Vec<_>) = held.into_iter().partition(is_over);
        self.held = held;
        for sent in &over {
            self.give_up(sent);
        }
    }

    fn is_cut(&self, index: usize) -> bool {
        (index as f64) < self.cut_share * NODES as f64
    }

    fn report(&mut self) {
        for index in 0..NODES {
            let is_cut = self.is_cut(index);
            let node = &mut self.nodes[index];
            let mut own = match self.stalled_report {
                true => node.shedder.own_load(self.now),
                false => node.shedder.reported_load(self.now),
            };
            if index as f64 >= (1.0 - self.wrong_share) * NODES as f64 {
                let more = own.times(1_000).iter().collect::<Vec<_>>();
                for (urgency, usage) in more {
                    let waiting = usage.waiting;
                    own.add(
                        urgency,
                        Usage {
                            waiting,
                            ..Usage::default()
                        },
                    );
                }
            }
            node.reported_to_zones = std::mem::take(&mut node.reported);
            if !is_cut {
                node.reported = own;
            }
        }
        let now = self.now;
        for index in 0..NODES {
            let mut others = Load::default();
            for (other, node) in self.nodes.iter().enumerate() {
                if other == index {
                    continue;
                }
                let reported = match other % ZONES == index % ZONES {
                    true => &node.reported,
                    false => &node.reported_to_zones,
                };
                others.add_all(&reported.effective());
            }
            let is_cut = self.is_cut(index);
            let node = &mut self.nodes[index];
            node.peers = Peers {
                nodes: NODES,
                is_uninformed: is_cut,
                others,
            };
            node.shedder.update_capacity(&POOL, &node.peers, now);
        }
    }
}
