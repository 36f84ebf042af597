//! Nodes that send to an engine that names a limit, and an oracle that counts what reaches it from all that were told.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::{Condition, Position, Signal};

const STEP: Duration = Duration::from_millis(10);
/// From a request to its answer.
const ANSWERED_AFTER: Duration = Duration::from_millis(80);
/// Few nodes tell each other what is new, and all that they know, so often.
const TOLD_EACH: u32 = 30;
const FEW: usize = 10;
/// Nodes look at their places anew.
const REFRESHED_EACH: u32 = 10;
/// What a node sends within this time after it was told may have been under way.
const SETTLED_AFTER: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
const TIMES_ALLOWED: f64 = 1.5;
const MORE_ALLOWED: f64 = 5.0;

/// How many others each node has heard of.
#[derive(Debug, Clone, Copy)]
pub enum Knowledge {
    All,
    Share(f64),
}

struct Node {
    condition: Condition,
    place: Position,
    told_at: Option<Timestamp>,
    /// Requests without an answer yet.
    sent: Vec<Timestamp>,
}

pub struct World {
    nodes: Vec<Node>,
    limit: Option<f64>,
    /// The highest that was named within the last window.
    highest: f64,
    named_at: Timestamp,
    /// Share of the answers that name it.
    pub named_share: f64,
    arrivals: Vec<Timestamp>,
    counted: Vec<Timestamp>,
    began: Timestamp,
    now: Timestamp,
    random: ChaCha8Rng,
}

impl World {
    pub fn new(nodes: usize, per_second: f64, knowledge: Knowledge, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let scores: Vec<f64> = (0..nodes).map(|_| random.random()).collect();
        let now = Timestamp::from_millis(1_000_000);
        let nodes = (0..nodes).map(|own| Node {
            condition: Condition::default(),
            place: place_of(own, &scores, knowledge, &mut random),
            told_at: None,
            sent: Vec::new(),
        });
        Self {
            nodes: nodes.collect(),
            limit: Some(per_second),
            highest: per_second,
            named_at: now,
            named_share: 1.0,
            arrivals: Vec::new(),
            counted: Vec::new(),
            began: now,
            now,
            random,
        }
    }

    /// The engine names another limit from now on; what is counted begins anew once nodes can know.
    pub fn name(&mut self, per_second: f64) {
        self.limit = Some(per_second);
        self.highest = per_second;
        self.named_at = self.now;
        self.counted.clear();
        for node in &mut self.nodes {
            node.told_at = None;
        }
    }

    /// The engine names none any more.
    pub fn end_limit(&mut self) {
        self.limit = None;
    }

    pub fn run(&mut self, span: Duration, demand: f64) {
        let until = self.now.after(span);
        let mut step = 0_u32;
        while self.now < until {
            self.now = self.now.after(STEP);
            step += 1;
            for index in 0..self.nodes.len() {
                self.step(index, demand, step.is_multiple_of(REFRESHED_EACH));
            }
            if step.is_multiple_of(TOLD_EACH) && self.nodes.len() <= FEW {
                self.tell();
            }
        }
    }

    fn tell(&mut self) {
        let reports = self.nodes.iter().map(|node| node.condition.report());
        let reports: Vec<_> = reports.flatten().collect();
        for node in &mut self.nodes {
            for report in &reports {
                node.condition.merge(report);
            }
        }
    }

    fn step(&mut self, index: usize, demand: f64, is_refreshed: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if is_refreshed {
            node.condition.refresh(&node.place, now);
        }
        let is_due = |sent: &Timestamp| now.since(*sent) >= ANSWERED_AFTER;
        for sent in node.sent.extract_if(.., |sent| is_due(sent)) {
            let is_named = self.random.random_bool(self.named_share);
            let rate_limit = self.limit.filter(|_| is_named);
            let signal = Signal {
                rate_limit,
                ..Signal::default()
            };
            node.condition.apply_signal(&signal, sent, now);
            node.condition.refresh(&node.place, now);
            if rate_limit.is_some() {
                node.told_at.get_or_insert(now);
            }
        }
        let is_asked = self.random.random_bool(demand * STEP.as_secs_f64());
        if !is_asked || node.condition.exclusion(now).is_some() {
            return;
        }
        node.condition.record_sent(now);
        node.sent.push(now);
        self.arrivals.push(now);
        let is_counted = |at: Timestamp| now.since(at) >= SETTLED_AFTER;
        if self.limit.is_some() && node.told_at.is_some_and(is_counted) {
            self.counted.push(now);
        }
    }

    pub fn arrived(&self) -> usize {
        self.arrivals.len()
    }

    pub fn assert_within_bound(&self) {
        let allowed = TIMES_ALLOWED * self.highest * WINDOW.as_secs_f64() + MORE_ALLOWED;
        let within = |first: &Timestamp| {
            let until = first.after(WINDOW);
            let in_span = self
                .counted
                .iter()
                .filter(|at| **at >= *first && **at < until);
            in_span.count()
        };
        let most = self.counted.iter().map(within).max().unwrap_or_default();
        assert!(most as f64 <= allowed, "{most} of {allowed} allowed");
    }

    /// At least this share of the limit has been used since it was named.
    pub fn assert_used(&self, share: f64) {
        let settled = self.named_at.max(self.began).after(2 * SETTLED_AFTER);
        let span = self.now.since(settled).as_secs_f64();
        let arrived = self.arrivals.iter().filter(|at| **at >= settled).count();
        let wanted = (self.highest * span * share).floor();
        assert!(arrived as f64 >= wanted, "{arrived} of {wanted} wanted");
    }
}

fn place_of(own: usize, scores: &[f64], knowledge: Knowledge, random: &mut ChaCha8Rng) -> Position {
    let mut known = 1;
    let mut rank = 0;
    for (index, score) in scores.iter().enumerate() {
        let is_known = match knowledge {
            Knowledge::All => true,
            Knowledge::Share(share) => random.random_bool(share),
        };
        if index != own && is_known {
            known += 1;
            rank += usize::from(*score > scores[own]);
        }
    }
    Position {
        nodes: scores.len(),
        senders: scores.len(),
        known,
        rank,
        score: scores[own],
    }
}
