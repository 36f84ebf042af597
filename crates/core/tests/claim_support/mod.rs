//! Clients and keepers on a network that the test controls.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::claim::{
    ClaimClient, ClaimClientAction, ClaimClientEvent, ClaimEnvelope, ClaimId, ClaimKeeper,
    ClaimKeeperEvent, ClaimMessage, ClaimOutcome, ClaimRoster, ClaimSettings, KeeperGroup,
};
use ryerouter_core::identity::{IdempotencyKey, NodeName, RequestId, ResourceVersion, TenantName};

const UP_BEFORE_FOUNDING: Duration = Duration::from_secs(10);

/// A router process: every one is client and keeper.
struct Process {
    client: ClaimClient,
    keeper: ClaimKeeper,
}

/// Router processes whose messages arrive at once, unless cut.
pub struct Deployment {
    processes: Vec<Process>,
    roster: ClaimRoster,
    settings: ClaimSettings,
    cut: BTreeSet<usize>,
    starts: u64,
    requests: u64,
    now: Timestamp,
}

/// A message on its way to a process.
struct Envelope {
    from: usize,
    to: usize,
    message: ClaimMessage,
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

pub fn index_of(name: &NodeName) -> usize {
    name.as_str()["node-".len()..].parse().expect("a node name")
}

impl Deployment {
    /// `count` processes, all keepers, up before the first roster was written at `start`.
    pub fn founded(count: usize, start: Timestamp) -> Self {
        let group = KeeperGroup {
            epoch: ClaimRoster::FIRST_EPOCH,
            keepers: (0..count).map(node_name).collect(),
            previous: Vec::new(),
        };
        let mut deployment = Self {
            processes: Vec::new(),
            roster: ClaimRoster {
                founded_at: Some(start),
                groups: vec![group],
                version: ResourceVersion(1),
            },
            settings: ClaimSettings::default(),
            cut: BTreeSet::new(),
            starts: 0,
            requests: 0,
            now: start.before(UP_BEFORE_FOUNDING),
        };
        for index in 0..count {
            let process = deployment.start_process(index);
            deployment.processes.push(process);
        }
        deployment.now = start;
        for index in 0..count {
            deployment.give_roster(index);
        }
        deployment
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        for index in 0..self.processes.len() {
            self.client_event(index, ClaimClientEvent::Tick);
        }
    }

    pub fn cut(&mut self, index: usize) {
        self.cut.insert(index);
    }

    pub fn restart_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.restart(index));
    }

    pub fn restart(&mut self, index: usize) {
        self.processes[index] = self.start_process(index);
        self.give_roster(index);
    }

    /// Lets keepers copy each other's memory for a while.
    pub fn let_keepers_copy(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.now = self.now.after(Duration::from_secs(1));
            for index in 0..self.processes.len() {
                let mut sends = Vec::new();
                let keeper = &mut self.processes[index].keeper;
                keeper.handle(ClaimKeeperEvent::Tick, self.now, &mut sends);
                let sends = sends.into_iter();
                let mut envelopes = sends.map(|send| envelope(index, send)).collect();
                let answer = self.deliver_until_answer(&mut envelopes);
                assert!(answer.is_none(), "no client asked");
            }
        }
    }

    /// Claims `key` at a process and returns the outcome, letting the time for votes pass.
    pub fn claim(&mut self, index: usize, key: &IdempotencyKey) -> ClaimOutcome {
        self.requests += 1;
        let event = ClaimClientEvent::Requested {
            request: RequestId::new(format!("request-{}", self.requests)),
            tenant: TenantName::new("tenant"),
            key: key.clone(),
        };
        if let Some(outcome) = self.client_event(index, event) {
            return outcome;
        }
        self.now = self.now.after(self.settings.vote_timeout);
        self.client_event(index, ClaimClientEvent::Tick)
            .expect("decided when the time for votes is over")
    }

    pub fn release(&mut self, index: usize, claim: ClaimId) {
        self.client_event(index, ClaimClientEvent::NotRun { claim });
    }

    fn start_process(&mut self, index: usize) -> Process {
        self.starts += 1;
        Process {
            client: ClaimClient::new(self.starts, self.settings),
            keeper: ClaimKeeper::new(node_name(index), self.now, self.settings),
        }
    }

    fn give_roster(&mut self, index: usize) {
        let roster = self.roster.clone();
        let process = &mut self.processes[index];
        let event = ClaimClientEvent::RosterChanged(roster.clone());
        process.client.handle(event, self.now, &mut Vec::new());
        let event = ClaimKeeperEvent::RosterChanged(roster);
        process.keeper.handle(event, self.now, &mut Vec::new());
    }

    fn client_event(&mut self, index: usize, event: ClaimClientEvent) -> Option<ClaimOutcome> {
        let mut decided = None;
        let mut envelopes = Vec::new();
        let mut next = Some((index, event));
        while let Some((client, event)) = next.take() {
            let mut actions = Vec::new();
            self.processes[client]
                .client
                .handle(event, self.now, &mut actions);
            for action in actions {
                match action {
                    ClaimClientAction::Send(send) => envelopes.push(envelope(client, send)),
                    ClaimClientAction::Decided { outcome, .. } => decided = Some(outcome),
                }
            }
            next = self.deliver_until_answer(&mut envelopes);
        }
        decided
    }

    /// Delivers to keepers until an answer for a client turns up.
    fn deliver_until_answer(
        &mut self,
        envelopes: &mut Vec<Envelope>,
    ) -> Option<(usize, ClaimClientEvent)> {
        while let Some(envelope) = envelopes.pop() {
            if self.cut.contains(&envelope.from) || self.cut.contains(&envelope.to) {
                continue;
            }
            let for_client = matches!(
                envelope.message,
                ClaimMessage::Vote(_) | ClaimMessage::Released(_)
            );
            let from = node_name(envelope.from);
            let message = envelope.message;
            if for_client {
                return Some((envelope.to, ClaimClientEvent::Received { from, message }));
            }
            let mut sends = Vec::new();
            let event = ClaimKeeperEvent::Received { from, message };
            self.processes[envelope.to]
                .keeper
                .handle(event, self.now, &mut sends);
            envelopes.extend(
                sends
                    .into_iter()
                    .map(|send| self::envelope(envelope.to, send)),
            );
        }
        None
    }
}

fn envelope(from: usize, send: ClaimEnvelope) -> Envelope {
    Envelope {
        from,
        to: index_of(&send.to),
        message: send.message,
    }
}
