//! Processes that borrow and bank, on a network that a test controls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{Catalog, Tenant, TenantLimits};
use ryerouter_core::claim::{ClaimRoster, KeeperGroup};
use ryerouter_core::identity::{NodeName, ResourceVersion, TenantName};
use ryerouter_core::limit::{
    LimitAllocator, LimitAllocatorEvent, LimitClient, LimitCost, LimitDecision, LimitEnvelope,
    LimitMessage, LimitSettings,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Longer than banks wait after a start.
const WARM_UP: Duration = Duration::from_secs(7);

/// One step of a run.
#[derive(Debug, Clone)]
pub enum Operation {
    /// A burst of requests at one process.
    Requests {
        node: usize,
        count: usize,
    },
    /// Streams of a process end.
    EndStreams {
        node: usize,
        count: usize,
    },
    Advance {
        millis: u64,
    },
    Lose {
        pick: usize,
    },
    Duplicate {
        pick: usize,
    },
    /// The oldest messages are delivered last.
    Reorder,
    /// Messages between a process and all others are held back.
    Isolate {
        node: usize,
    },
    Heal,
    Restart {
        node: usize,
    },
    /// Another process takes over from a bank, and this many processes hear of it.
    Replace {
        bank: usize,
        heard_by: usize,
    },
    Settle {
        heard_by: usize,
    },
}

struct Process {
    borrower: LimitClient,
    bank: LimitAllocator,
    waiting: u64,
    running: u64,
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    message: LimitMessage,
}

pub struct World {
    processes: Vec<Process>,
    network: Vec<Envelope>,
    isolated: BTreeSet<usize>,
    catalog: Catalog,
    admitted: Vec<Timestamp>,
    /// Messages delivered so far.
    pub messages: usize,
    pub now: Timestamp,
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

fn index_of(name: &NodeName) -> usize {
    name.as_str()["node-".len()..].parse().expect("a node name")
}

fn tenant() -> TenantName {
    TenantName::new("tenant")
}

impl World {
    pub fn new(nodes: usize, banks: usize, limits: TenantLimits) -> Self {
        let record = Tenant {
            name: tenant(),
            api_key_hashes: Vec::new(),
            weight: 1,
            limits,
            version: ResourceVersion(1),
        };
        let group = KeeperGroup {
            epoch: 1,
            keepers: (0..banks).map(node_name).collect(),
            previous: Vec::new(),
        };
        let catalog = Catalog {
            tenants: BTreeMap::from([(tenant(), record)]),
            claim_roster: ClaimRoster {
                founded_at: None,
                groups: vec![group],
                version: ResourceVersion(1),
            },
            ..Catalog::default()
        };
        let mut world = Self {
            processes: Vec::new(),
            network: Vec::new(),
            isolated: BTreeSet::new(),
            catalog,
            admitted: Vec::new(),
            messages: 0,
            now: START,
        };
        for node in 0..nodes {
            let process = world.started(node);
            world.processes.push(process);
        }
        world.now = START.after(WARM_UP);
        world
    }

    fn started(&self, node: usize) -> Process {
        let settings = LimitSettings::default();
        let mut process = Process {
            borrower: LimitClient::new(node_name(node), self.now, settings),
            bank: LimitAllocator::new(node_name(node), settings),
            waiting: 0,
            running: 0,
        };
        process.adopt(&self.catalog, self.now);
        process
    }

    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    pub fn running(&self) -> u64 {
        self.processes.iter().map(|process| process.running).sum()
    }

    /// The most requests admitted within any time of `window`.
    pub fn most_admitted_within(&self, window: Duration) -> usize {
        let mut most = 0;
        let mut first = 0;
        for (last, time) in self.admitted.iter().enumerate() {
            while time.since(self.admitted[first]) > window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    pub fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Requests { node, count } => self.requests(node, count),
            Operation::EndStreams { node, count } => self.end_streams(node, count as u64),
            Operation::Advance { millis } => self.advance(millis),
            Operation::Lose { pick } => self.lose(pick),
            Operation::Duplicate { pick } => self.duplicate(pick),
            Operation::Reorder => self.network.reverse(),
            Operation::Isolate { node } => drop(self.isolated.insert(node)),
            Operation::Heal => self.isolated.clear(),
            Operation::Restart { node } => self.processes[node] = self.started(node),
            Operation::Replace { bank, heard_by } => self.replace(bank, heard_by),
            Operation::Settle { heard_by } => self.settle(heard_by),
        }
        self.deliver();
    }

    /// Time in steps, so that asks time out one after the other as they do in life.
    pub fn advance(&mut self, millis: u64) {
        const STEP: u64 = 100;
        let mut left = millis;
        while left > 0 {
            let step = left.min(STEP);
            left -= step;
            self.now = self.now.after(Duration::from_millis(step));
            for node in 0..self.processes.len() {
                let mut sends = Vec::new();
                self.processes[node].borrower.tick(self.now, &mut sends);
                self.post(node, sends);
            }
            self.deliver();
        }
    }

    fn requests(&mut self, node: usize, count: usize) {
        for _ in 0..count {
            let mut sends = Vec::new();
            let cost = LimitCost::of_request(1);
            let decision =
                self.processes[node]
                    .borrower
                    .try_spend(&tenant(), &cost, self.now, &mut sends);
            self.note(node, decision, true);
            self.post(node, sends);
        }
    }

    fn note(&mut self, node: usize, decision: LimitDecision, is_new: bool) {
        let process = &mut self.processes[node];
        match decision {
            LimitDecision::Allowed => {
                process.running += 1;
                self.admitted.push(self.now);
            }
            LimitDecision::Waiting if is_new => process.waiting += 1,
            LimitDecision::Waiting | LimitDecision::Denied { .. } => {}
        }
        if !is_new && decision != LimitDecision::Waiting {
            process.waiting -= 1;
        }
    }

    fn retry_waiting(&mut self, node: usize) {
        for _ in 0..self.processes[node].waiting {
            let mut sends = Vec::new();
            let cost = LimitCost::of_request(1);
            let decision =
                self.processes[node]
                    .borrower
                    .retry(&tenant(), &cost, self.now, &mut sends);
            self.note(node, decision, false);
            self.post(node, sends);
        }
    }

    fn end_streams(&mut self, node: usize, count: u64) {
        let process = &mut self.processes[node];
        let ending = count.min(process.running);
        process.running -= ending;
        for _ in 0..ending {
            process.borrower.stream_ended(&tenant());
        }
    }

    fn post(&mut self, from: usize, sends: Vec<LimitEnvelope>) {
        self.network.extend(sends.into_iter().map(|send| Envelope {
            from,
            to: index_of(&send.to),
            message: send.message,
        }));
    }

    fn deliver(&mut self) {
        let mut held_back = Vec::new();
        while !self.network.is_empty() {
            let envelope = self.network.remove(0);
            let cut = envelope.from != envelope.to
                && (self.isolated.contains(&envelope.from) || self.isolated.contains(&envelope.to));
            if cut {
                held_back.push(envelope);
            } else {
                self.receive(envelope);
            }
        }
        self.network = held_back;
    }

    fn receive(&mut self, envelope: Envelope) {
        self.messages += 1;
        let Envelope { from, to, message } = envelope;
        let mut sends = Vec::new();
        let process = &mut self.processes[to];
        let from = node_name(from);
        if let LimitMessage::Grant(grant) = &message {
            process.borrower.receive(&from, grant, self.now, &mut sends);
            self.post(to, sends);
            self.retry_waiting(to);
            return;
        }
        let event = LimitAllocatorEvent::Received { from, message };
        process.bank.handle(event, self.now, &mut sends);
        self.post(to, sends);
    }

    fn lose(&mut self, pick: usize) {
        if !self.network.is_empty() {
            let index = pick % self.network.len();
            self.network.remove(index);
        }
    }

    fn duplicate(&mut self, pick: usize) {
        if !self.network.is_empty() {
            let copy = self.network[pick % self.network.len()].clone();
            self.network.push(copy);
        }
    }

    fn replace(&mut self, bank: usize, heard_by: usize) {
        let nodes = self.processes.len();
        let group = &mut self.catalog.claim_roster.groups[0];
        let joiner = (0..nodes)
            .map(node_name)
            .find(|name| !group.keepers.contains(name));
        if !group.previous.is_empty() {
            return;
        }
        let Some(joiner) = joiner else {
            return;
        };
        group.previous = group.keepers.clone();
        let position = bank % group.keepers.len();
        group.keepers[position] = joiner;
        group.epoch += 1;
        self.tell(heard_by);
    }

    /// Settles a change once a majority of the banks before has heard of it, as the planner does.
    fn settle(&mut self, heard_by: usize) {
        let group = &self.catalog.claim_roster.groups[0];
        let epoch = group.epoch;
        let heard = group
            .previous
            .iter()
            .filter(|name| self.processes[index_of(name)].bank_epoch() == epoch)
            .count();
        if group.previous.is_empty() || heard <= group.previous.len() / 2 {
            return;
        }
        self.catalog.claim_roster.groups[0].previous.clear();
        self.tell(heard_by);
    }

    fn tell(&mut self, heard_by: usize) {
        let catalog = self.catalog.clone();
        for (node, process) in self.processes.iter_mut().take(heard_by).enumerate() {
            if !self.isolated.contains(&node) {
                process.adopt(&catalog, self.now);
            }
        }
    }
}

impl Process {
    fn adopt(&mut self, catalog: &Catalog, now: Timestamp) {
        let catalog = Arc::new(catalog.clone());
        self.borrower.adopt(Arc::clone(&catalog));
        let event = LimitAllocatorEvent::CatalogChanged(catalog);
        self.bank.handle(event, now, &mut Vec::new());
    }

    /// The epoch that the bank confirms to others.
    fn bank_epoch(&mut self) -> u64 {
        let event = LimitAllocatorEvent::Received {
            from: node_name(0),
            message: LimitMessage::Ping {
                group: 0,
                epoch: 0,
                round: 0,
            },
        };
        let mut sends = Vec::new();
        self.bank.handle(event, START, &mut sends);
        match sends.first().map(|send| &send.message) {
            Some(LimitMessage::Pong { epoch, .. }) => *epoch,
            _ => 0,
        }
    }
}
