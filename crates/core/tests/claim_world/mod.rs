//! Processes that claim and keep, on a network and clocks that a test controls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::claim::{
    ClaimClient, ClaimClientAction, ClaimClientEvent, ClaimGrant, ClaimKeeper, ClaimKeeperEvent,
    ClaimMessage, ClaimOutcome, ClaimRoster, ClaimSettings, KeeperGroup, KeeperPlanner,
    KeeperPlannerAction, KeeperPlannerEvent, KeeperPlannerSettings, issued_at, time_ordered_key,
};
use ryerouter_core::identity::{
    IdempotencyKey, NodeName, RequestId, ResourceVersion, TenantName, ZoneName,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const KEEPERS: usize = 3;
/// Sender of the planner's messages: no keeper and no client.
const PLANNER: usize = usize::MAX;
const PLANNER_NAME: &str = "planner";

/// One step of a run.
#[derive(Debug, Clone)]
pub enum Operation {
    Serve { node: usize, key: usize },
    Submit { node: usize, key: usize },
    Deliver { pick: usize },
    DeliverAll,
    Duplicate { pick: usize },
    Lose { pick: usize },
    Dispatch { node: usize },
    GiveUp { node: usize },
    Advance { millis: u64 },
    Restart { node: usize },
    RestartAll,
    Pause { node: usize },
    Resume { node: usize },
    Remove { node: usize },
    Plan,
    Adopt { node: usize },
    Renew { key: usize },
}

/// A rule taken away, to see that the check notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A client is content with the vote of one keeper.
    NoMajority,
    /// A keeper votes at once after a restart, as if it had been there from the first.
    ForgetfulKeeperVotes,
    /// A keeper that joins votes before the change is settled.
    JoinerVotesUnsettled,
    /// A claim is released, and its request dispatched all the same.
    ReleasedClaimDispatched,
}

/// A grant that was not used yet.
struct HeldGrant {
    grant: ClaimGrant,
    key: IdempotencyKey,
    submitted_at: Timestamp,
}

struct Process {
    client: ClaimClient,
    keeper: ClaimKeeper,
    submissions: BTreeMap<RequestId, (IdempotencyKey, Timestamp)>,
    grants: Vec<HeldGrant>,
    roster: ClaimRoster,
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    message: ClaimMessage,
}

/// All processes, the network between them and what ran.
pub struct World {
    processes: Vec<Option<Process>>,
    network: Vec<Envelope>,
    paused: BTreeSet<usize>,
    planner: KeeperPlanner,
    roster: ClaimRoster,
    keys: Vec<IdempotencyKey>,
    executions: BTreeMap<IdempotencyKey, Vec<Timestamp>>,
    fault: Option<Fault>,
    counter: u64,
    now: Timestamp,
}

fn node_name(index: usize) -> NodeName {
    match index {
        PLANNER => NodeName::new(PLANNER_NAME),
        _ => NodeName::new(format!("node-{index}")),
    }
}

fn index_of(name: &NodeName) -> usize {
    match name.as_str() {
        PLANNER_NAME => PLANNER,
        name => name["node-".len()..].parse().expect("a node name"),
    }
}

impl World {
    /// `nodes` processes of which the first few keep claims; half of the `keys` are time-ordered.
    pub fn new(nodes: usize, keys: usize, fault: Option<Fault>) -> Self {
        let group = KeeperGroup {
            epoch: ClaimRoster::FIRST_EPOCH,
            keepers: (0..KEEPERS).map(node_name).collect(),
            previous: Vec::new(),
        };
        let roster = ClaimRoster {
            founded_at: Some(START),
            groups: vec![group],
            version: ResourceVersion(1),
        };
        let mut world = Self {
            processes: Vec::new(),
            network: Vec::new(),
            paused: BTreeSet::new(),
            planner: KeeperPlanner::new(Self::planner_settings()),
            roster,
            keys: Vec::new(),
            executions: BTreeMap::new(),
            fault,
            counter: 0,
            now: START.before(Duration::from_secs(10)),
        };
        for node in 0..nodes {
            let process = world.started(node);
            world.processes.push(Some(process));
        }
        world.now = START;
        for node in 0..nodes {
            world.adopt(node);
        }
        world.tell_planner();
        for key in 0..keys {
            let text = world.fresh_key(key < keys / 2);
            world.keys.push(text);
        }
        world
    }

    /// Short times, so that runs pass every one of them.
    pub fn settings() -> ClaimSettings {
        ClaimSettings {
            lifetime: Duration::from_secs(100),
            opaque_key_lifetime: Duration::from_secs(20),
            clock_tolerance: Duration::from_secs(1),
            vote_timeout: Duration::from_millis(500),
            grant_validity: Duration::from_secs(5),
            release_interval: Duration::from_millis(500),
            max_release_sends: 3,
            retry_after: Duration::from_secs(1),
            keeper_capacity: 1_000,
        }
    }

    fn planner_settings() -> KeeperPlannerSettings {
        KeeperPlannerSettings {
            group_size: KEEPERS,
            max_groups: 1,
            bootstrap_quiet_period: Duration::from_secs(3),
            bootstrap_max_wait: Duration::from_secs(10),
            replace_after: Duration::from_secs(1),
            recreate_after: Duration::from_secs(4),
            confirm_interval: Duration::from_millis(100),
            proposal_timeout: Duration::from_millis(100),
        }
    }

    /// How many times any key ran.
    pub fn executions(&self) -> usize {
        self.executions.values().map(Vec::len).sum()
    }

    /// A key that ran twice, if one did.
    pub fn violation(&self) -> Option<String> {
        for (key, times) in &self.executions {
            for pair in times.windows(2) {
                let apart = pair[1].since(pair[0]);
                if issued_at(key).is_some() || apart < Self::settings().opaque_key_lifetime {
                    return Some(format!("key {key} submitted at {pair:?} ran twice"));
                }
            }
        }
        None
    }

    pub fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Serve { node, key } => self.serve(node, key),
            Operation::Submit { node, key } => self.submit(node, key),
            Operation::Deliver { pick } => self.deliver(pick),
            Operation::DeliverAll => self.deliver_all(),
            Operation::Duplicate { pick } => self.duplicate(pick),
            Operation::Lose { pick } => drop(self.take(pick)),
            Operation::Dispatch { node } => self.dispatch(node),
            Operation::GiveUp { node } => self.give_up(node),
            Operation::Advance { millis } => self.advance(millis),
            Operation::Restart { node } => self.restart(node),
            Operation::RestartAll => (0..self.processes.len()).for_each(|node| self.restart(node)),
            Operation::Pause { node } => drop(self.paused.insert(node)),
            Operation::Resume { node } => drop(self.paused.remove(&node)),
            Operation::Remove { node } => self.remove(node),
            Operation::Plan => self.plan(),
            Operation::Adopt { node } => self.adopt(node),
            Operation::Renew { key } => self.renew(key),
        }
    }

    /// Clocks of processes differ by up to the tolerance.
    fn clock_of(&self, node: usize) -> Timestamp {
        let tolerance = Self::settings().clock_tolerance;
        self.now.after(tolerance * (node as u32 % 3) / 2)
    }

    fn started(&mut self, node: usize) -> Process {
        self.counter += 1;
        let settings = Self::settings();
        let mut keeper_settings = settings;
        if self.fault == Some(Fault::ForgetfulKeeperVotes) {
            keeper_settings.opaque_key_lifetime = Duration::ZERO;
            keeper_settings.clock_tolerance = Duration::ZERO;
        }
        Process {
            client: ClaimClient::new(self.counter, settings),
            keeper: ClaimKeeper::new(node_name(node), self.clock_of(node), keeper_settings),
            submissions: BTreeMap::new(),
            grants: Vec::new(),
            roster: ClaimRoster::default(),
        }
    }

    fn restart(&mut self, node: usize) {
        if self.processes[node].is_some() {
            self.paused.remove(&node);
            self.processes[node] = Some(self.started(node));
        }
    }

    /// Gives a process the newest roster.
    fn adopt(&mut self, node: usize) {
        let now = self.clock_of(node);
        let fault = self.fault;
        let newest = self.roster.clone();
        let Some(process) = self.running(node) else {
            return;
        };
        process.roster = newest.clone();
        let for_client = match fault {
            Some(Fault::NoMajority) => with_one_keeper(&newest, node),
            _ => newest.clone(),
        };
        let for_keeper = match fault {
            Some(Fault::JoinerVotesUnsettled) => settled(&newest),
            _ => newest,
        };
        let event = ClaimClientEvent::RosterChanged(for_client);
        process.client.handle(event, now, &mut Vec::new());
        let event = ClaimKeeperEvent::RosterChanged(for_keeper);
        process.keeper.handle(event, now, &mut Vec::new());
    }

    fn running(&mut self, node: usize) -> Option<&mut Process> {
        if self.paused.contains(&node) {
            return None;
        }
        self.processes.get_mut(node)?.as_mut()
    }

    /// A request on a network that works for a moment.
    fn serve(&mut self, node: usize, key: usize) {
        self.submit(node, key);
        self.deliver_all();
        self.dispatch(node);
    }

    fn submit(&mut self, node: usize, key: usize) {
        if self.running(node).is_none() {
            return;
        }
        self.counter += 1;
        let request = RequestId::new(format!("request-{}", self.counter));
        let text = self.keys[key].clone();
        let now = self.now;
        if let Some(process) = self.running(node) {
            let submission = (text.clone(), now);
            process.submissions.insert(request.clone(), submission);
        }
        let event = ClaimClientEvent::Requested {
            request,
            tenant: TenantName::new("tenant"),
            key: text,
        };
        self.client_event(node, event);
    }

    fn fresh_key(&mut self, time_ordered: bool) -> IdempotencyKey {
        self.counter += 1;
        if time_ordered {
            time_ordered_key(self.now, u128::from(self.counter))
        } else {
            IdempotencyKey::new(format!("key-{}", self.counter))
        }
    }

    /// A caller comes with a new key in place of an old one.
    fn renew(&mut self, key: usize) {
        let time_ordered = issued_at(&self.keys[key]).is_some();
        self.keys[key] = self.fresh_key(time_ordered);
    }

    /// Takes a machine away for good; some are always left.
    fn remove(&mut self, node: usize) {
        let left = self.processes.iter().flatten().count();
        if left > KEEPERS + 1 {
            self.processes[node] = None;
        }
    }

    fn client_event(&mut self, node: usize, event: ClaimClientEvent) {
        let now = self.clock_of(node);
        let Some(process) = self.running(node) else {
            return;
        };
        let mut actions = Vec::new();
        process.client.handle(event, now, &mut actions);
        let mut sends = Vec::new();
        for action in actions {
            match action {
                ClaimClientAction::Send(send) => sends.push(send),
                ClaimClientAction::Decided { request, outcome } => {
                    process.note_decision(&request, outcome);
                }
            }
        }
        self.network.extend(sends.into_iter().map(|send| Envelope {
            from: node,
            to: index_of(&send.to),
            message: send.message,
        }));
    }

    fn take(&mut self, pick: usize) -> Option<Envelope> {
        (!self.network.is_empty()).then(|| self.network.remove(pick % self.network.len()))
    }

    fn duplicate(&mut self, pick: usize) {
        if !self.network.is_empty() {
            let copy = self.network[pick % self.network.len()].clone();
            self.network.push(copy);
        }
    }

    fn deliver_all(&mut self) {
        let mut waiting = Vec::new();
        while let Some(envelope) = self.take(0) {
            if self.paused.contains(&envelope.to) {
                waiting.push(envelope);
            } else {
                self.receive(envelope);
            }
        }
        self.network = waiting;
    }

    fn deliver(&mut self, pick: usize) {
        let Some(envelope) = self.take(pick) else {
            return;
        };
        if self.paused.contains(&envelope.to) {
            self.network.push(envelope);
        } else {
            self.receive(envelope);
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        match message {
            ClaimMessage::EpochConfirmed(confirmation) => {
                let from = node_name(from);
                let event = KeeperPlannerEvent::Confirmed { from, confirmation };
                self.planner.handle(event, self.now, &mut Vec::new());
            }
            ClaimMessage::Vote(_) | ClaimMessage::Released(_) => {
                let from = node_name(from);
                self.client_event(to, ClaimClientEvent::Received { from, message });
            }
            _ => self.keeper_message(from, to, message),
        }
    }

    fn keeper_message(&mut self, from: usize, to: usize, message: ClaimMessage) {
        let from = node_name(from);
        self.keeper_event(to, ClaimKeeperEvent::Received { from, message });
    }

    fn keeper_event(&mut self, node: usize, event: ClaimKeeperEvent) {
        let now = self.clock_of(node);
        let Some(process) = self.running(node) else {
            return;
        };
        let mut sends = Vec::new();
        process.keeper.handle(event, now, &mut sends);
        self.network.extend(sends.into_iter().map(|send| Envelope {
            from: node,
            to: index_of(&send.to),
            message: send.message,
        }));
    }

    fn dispatch(&mut self, node: usize) {
        let now = self.clock_of(node);
        let fault = self.fault;
        let Some(process) = self.running(node) else {
            return;
        };
        let Some(held) = process.grants.pop() else {
            return;
        };
        let claim = held.grant.claim;
        if now >= held.grant.dispatch_before {
            self.client_event(node, ClaimClientEvent::NotRun { claim });
            return;
        }
        let times = self.executions.entry(held.key).or_default();
        times.push(held.submitted_at);
        times.sort_unstable();
        let event = match fault {
            Some(Fault::ReleasedClaimDispatched) => ClaimClientEvent::NotRun { claim },
            _ => ClaimClientEvent::Ended { claim },
        };
        self.client_event(node, event);
    }

    fn give_up(&mut self, node: usize) {
        let grant = self.running(node).and_then(|process| process.grants.pop());
        if let Some(held) = grant {
            let claim = held.grant.claim;
            self.client_event(node, ClaimClientEvent::NotRun { claim });
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for node in 0..self.processes.len() {
            self.client_event(node, ClaimClientEvent::Tick);
            self.keeper_event(node, ClaimKeeperEvent::Tick);
        }
    }

    fn tell_planner(&mut self) {
        let event = KeeperPlannerEvent::RosterChanged(self.roster.clone());
        self.planner.handle(event, self.now, &mut Vec::new());
    }

    /// Shows the planner who is there: a paused process looks absent, a removed one gone.
    fn plan(&mut self) {
        let alive = (0..self.processes.len())
            .filter(|node| self.processes[*node].is_some() && !self.paused.contains(node))
            .map(|node| (node_name(node), ZoneName::new(format!("zone-{}", node % 3))))
            .collect();
        let gone = (0..self.processes.len())
            .filter(|node| self.processes[*node].is_none())
            .map(node_name)
            .collect();
        let event = KeeperPlannerEvent::MembersSeen { alive, gone };
        let mut actions = Vec::new();
        self.planner.handle(event, self.now, &mut actions);
        for action in actions {
            match action {
                KeeperPlannerAction::Send(send) => self.network.push(Envelope {
                    from: PLANNER,
                    to: index_of(&send.to),
                    message: send.message,
                }),
                KeeperPlannerAction::Propose(mut roster) => {
                    roster.version = roster.version.next();
                    self.roster = roster;
                    self.tell_planner();
                }
            }
        }
    }
}

impl Process {
    fn note_decision(&mut self, request: &RequestId, outcome: ClaimOutcome) {
        let (key, submitted_at) = self.submissions.remove(request).expect("decided once");
        if let ClaimOutcome::Granted(grant) = outcome {
            self.grants.push(HeldGrant {
                grant,
                key,
                submitted_at,
            });
        }
    }
}

fn with_one_keeper(roster: &ClaimRoster, node: usize) -> ClaimRoster {
    let mut reduced = roster.clone();
    for group in &mut reduced.groups {
        let keeper = group.keepers[node % group.keepers.len()].clone();
        group.keepers = vec![keeper];
    }
    reduced
}

fn settled(roster: &ClaimRoster) -> ClaimRoster {
    let mut settled = roster.clone();
    for group in &mut settled.groups {
        group.previous.clear();
    }
    settled
}
