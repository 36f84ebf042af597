//! This node's part in running requests at most once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::claim::{
    ClaimClient, ClaimClientAction, ClaimClientEvent, ClaimEnvelope, ClaimId, ClaimKeeper,
    ClaimKeeperEvent, ClaimMessage, ClaimOutcome, ClaimRoster, ClaimSettings, KeeperPlanner,
    KeeperPlannerAction, KeeperPlannerEvent, KeeperPlannerSettings, KeyDigest,
};
use crate::config::{Change, Expectation, Mutation, Resource};
use crate::identity::{
    ChangeId, IdempotencyKey, NodeName, RequestId, ResourceVersion, TenantName, ZoneName,
};
use crate::membership::MemberState;
use crate::timestamp::Timestamp;

use super::{
    Cluster, ControlAction, ControlSettings, MachineEntry, OperationId, Outbox, PeerMessage,
};

/// This node's part in running requests at most once: it claims for its own requests, keeps claims
/// for others where the roster names it, and plans the roster while it is the first reader.
#[derive(Debug)]
pub struct Claims {
    name: NodeName,
    client: ClaimClient,
    keeper: ClaimKeeper,
    planner: KeeperPlanner,
    roster_version: ResourceVersion,
    asked: BTreeMap<OperationId, KeyDigest>,
    /// Granted claims whose requests are not over. A key has at most one, so it identifies it.
    held: BTreeMap<KeyDigest, ClaimId>,
    machines: Option<MachineReading>,
    plan_at: Timestamp,
    keeper_tick_at: Timestamp,
    proposals: u64,
}

/// Addresses that the machine list showed, and when.
#[derive(Debug)]
struct MachineReading {
    read_at: Timestamp,
    addresses: BTreeSet<SocketAddr>,
}

impl Claims {
    /// How often the roster is planned.
    pub const PLAN_EVERY: Duration = Duration::from_secs(1);
    /// A reading of the machine list is current for this long.
    pub const MACHINES_CURRENT_FOR: Duration = Duration::from_secs(10);
    const AUTHOR: &str = "claim-keepers";

    /// State of a process that starts.
    pub fn new(settings: &ControlSettings) -> Self {
        let claim_settings = ClaimSettings::default();
        let name = settings.name.clone();
        Self {
            client: ClaimClient::new(claim_seed(settings), claim_settings),
            keeper: ClaimKeeper::new(name.clone(), Timestamp::ZERO, claim_settings),
            planner: KeeperPlanner::new(KeeperPlannerSettings::default()),
            name,
            roster_version: ResourceVersion::default(),
            asked: BTreeMap::new(),
            held: BTreeMap::new(),
            machines: None,
            plan_at: Timestamp::ZERO,
            keeper_tick_at: Timestamp::ZERO,
            proposals: 0,
        }
    }

    /// The process starts: what it kept before is lost, so it knows of no claims before `now`.
    pub fn start(&mut self, now: Timestamp) {
        self.keeper = ClaimKeeper::new(self.name.clone(), now, ClaimSettings::default());
    }

    /// Claims that this node remembers for others and for itself.
    pub fn record_count(&self) -> usize {
        self.keeper.record_count()
    }

    /// Takes the roster in force.
    pub fn follow_roster(&mut self, roster: &ClaimRoster, now: Timestamp) {
        if roster.version == self.roster_version {
            return;
        }
        self.roster_version = roster.version;
        let mut actions = Vec::new();
        let event = ClaimClientEvent::RosterChanged(roster.clone());
        self.client.handle(event, now, &mut actions);
        let mut sends = Vec::new();
        let event = ClaimKeeperEvent::RosterChanged(roster.clone());
        self.keeper.handle(event, now, &mut sends);
        let mut plans = Vec::new();
        let event = KeeperPlannerEvent::RosterChanged(roster.clone());
        self.planner.handle(event, now, &mut plans);
        debug_assert!(actions.is_empty() && sends.is_empty() && plans.is_empty());
    }

    /// Takes a reading of the machine list.
    pub fn read_machines(&mut self, entries: &[MachineEntry], now: Timestamp) {
        self.machines = Some(MachineReading {
            read_at: now,
            addresses: entries.iter().map(|entry| entry.address).collect(),
        });
    }

    /// A request needs its key claimed.
    pub fn request(
        &mut self,
        operation: OperationId,
        tenant: TenantName,
        key: IdempotencyKey,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.asked.insert(operation, KeyDigest::of(&tenant, &key));
        let event = ClaimClientEvent::Requested {
            request: RequestId::new(operation.to_string()),
            tenant,
            key,
        };
        self.ask_client(event, cluster, now, outbox);
    }

    /// The request of a granted claim certainly did not run and never will.
    pub fn release(
        &mut self,
        tenant: &TenantName,
        key: &IdempotencyKey,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if let Some(claim) = self.held.remove(&KeyDigest::of(tenant, key)) {
            self.ask_client(ClaimClientEvent::NotRun { claim }, cluster, now, outbox);
        }
    }

    /// The request of a granted claim is over and ran or may have run.
    pub fn end(
        &mut self,
        tenant: &TenantName,
        key: &IdempotencyKey,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if let Some(claim) = self.held.remove(&KeyDigest::of(tenant, key)) {
            self.ask_client(ClaimClientEvent::Ended { claim }, cluster, now, outbox);
        }
    }

    /// Takes a peer's message.
    pub fn receive(
        &mut self,
        from: NodeName,
        message: ClaimMessage,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let mut sends = Vec::new();
        self.take_message(from, message, now, &mut sends, outbox);
        self.deliver(sends, cluster, now, outbox);
    }

    /// Lets time pass; gives a roster to write, if this node is to plan it (`plans`).
    pub fn tick(
        &mut self,
        plans: bool,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) -> Option<Change> {
        if self.client.next_deadline().is_some_and(|due| due <= now) {
            self.ask_client(ClaimClientEvent::Tick, cluster, now, outbox);
        }
        if now >= self.keeper_tick_at {
            self.keeper_tick_at = now.after(Self::PLAN_EVERY);
            let mut sends = Vec::new();
            self.keeper.handle(ClaimKeeperEvent::Tick, now, &mut sends);
            self.deliver(sends, cluster, now, outbox);
        }
        if !plans || now < self.plan_at {
            return None;
        }
        self.plan_at = now.after(Self::PLAN_EVERY);
        let event = KeeperPlannerEvent::MembersSeen {
            alive: alive_nodes(cluster),
            gone: self.gone_nodes(cluster, now),
        };
        let mut actions = Vec::new();
        self.planner.handle(event, now, &mut actions);
        let mut sends = Vec::new();
        let mut proposed = None;
        for action in actions {
            match action {
                KeeperPlannerAction::Send(send) => sends.push(send),
                KeeperPlannerAction::Propose(roster) => proposed = Some(self.change_of(roster)),
            }
        }
        self.deliver(sends, cluster, now, outbox);
        proposed
    }

    fn ask_client(
        &mut self,
        event: ClaimClientEvent,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let mut sends = Vec::new();
        self.drive_client(event, now, &mut sends, outbox);
        self.deliver(sends, cluster, now, outbox);
    }

    fn drive_client(
        &mut self,
        event: ClaimClientEvent,
        now: Timestamp,
        sends: &mut Vec<ClaimEnvelope>,
        outbox: &mut Outbox,
    ) {
        let mut actions = Vec::new();
        self.client.handle(event, now, &mut actions);
        for action in actions {
            match action {
                ClaimClientAction::Send(send) => sends.push(send),
                ClaimClientAction::Decided { request, outcome } => {
                    self.decided(&request, outcome, outbox);
                }
            }
        }
    }

    fn decided(&mut self, request: &RequestId, outcome: ClaimOutcome, outbox: &mut Outbox) {
        let Ok(number) = request.as_str().parse() else {
            return;
        };
        let operation = OperationId(number);
        let digest = self.asked.remove(&operation);
        if let (ClaimOutcome::Granted(grant), Some(digest)) = (&outcome, digest) {
            self.held.insert(digest, grant.claim);
        }
        outbox.push(ControlAction::AnswerClaim { operation, outcome });
    }

    fn take_message(
        &mut self,
        from: NodeName,
        message: ClaimMessage,
        now: Timestamp,
        sends: &mut Vec<ClaimEnvelope>,
        outbox: &mut Outbox,
    ) {
        match message {
            ClaimMessage::Vote(_) | ClaimMessage::Released(_) => {
                let event = ClaimClientEvent::Received { from, message };
                self.drive_client(event, now, sends, outbox);
            }
            ClaimMessage::Ask(_)
            | ClaimMessage::Release(_)
            | ClaimMessage::ConfirmEpoch(_)
            | ClaimMessage::AskMemory(_)
            | ClaimMessage::Memory(_) => {
                let event = ClaimKeeperEvent::Received { from, message };
                self.keeper.handle(event, now, sends);
            }
            ClaimMessage::EpochConfirmed(confirmation) => {
                let event = KeeperPlannerEvent::Confirmed { from, confirmation };
                self.planner.handle(event, now, &mut Vec::new());
            }
        }
    }

    /// Sends messages; those to this node itself are taken at once, as it may be its own keeper.
    fn deliver(
        &mut self,
        sends: Vec<ClaimEnvelope>,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let mut waiting = VecDeque::from(sends);
        while let Some(send) = waiting.pop_front() {
            if send.to == self.name {
                let mut answers = Vec::new();
                self.take_message(send.to, send.message, now, &mut answers, outbox);
                waiting.extend(answers);
            } else if let Some(address) = cluster.address_of(&send.to) {
                let message = PeerMessage::Claim {
                    from: self.name.clone(),
                    message: send.message,
                };
                outbox.stream(address, message);
            }
        }
    }

    /// Known nodes whose machines a current reading of the machine list does not show.
    fn gone_nodes(&self, cluster: &Cluster, now: Timestamp) -> BTreeSet<NodeName> {
        let Some(machines) = &self.machines else {
            return BTreeSet::new();
        };
        if now.since(machines.read_at) >= Self::MACHINES_CURRENT_FOR {
            return BTreeSet::new();
        }
        let members = cluster.table().iter();
        members
            .filter(|member| !machines.addresses.contains(&member.record.address))
            .map(|member| member.record.name.clone())
            .collect()
    }

    /// The change that writes a roster over the version it was made from, and over no other.
    fn change_of(&mut self, roster: ClaimRoster) -> Change {
        self.proposals += 1;
        let expected = match roster.version {
            ResourceVersion(0) => Expectation::Absent,
            version => Expectation::Version(version),
        };
        let change_id = format!(
            "claim-roster-{}-{}-{}",
            self.name, roster.version, self.proposals
        );
        Change {
            change_id: ChangeId::new(change_id),
            author: Self::AUTHOR.to_owned(),
            mutations: vec![Mutation::Put {
                resource: Resource::ClaimRoster(roster),
                expected,
            }],
        }
    }
}

/// Seed of claim ids. Two processes with equal ids would take each other's claims for their own, so
/// name and start take part, whatever the seed of the settings is.
fn claim_seed(settings: &ControlSettings) -> u64 {
    let mut hasher = Xxh3::with_seed(settings.seed);
    hasher.update(settings.name.as_str().as_bytes());
    hasher.update(&settings.incarnation.0.to_le_bytes());
    hasher.digest()
}

fn alive_nodes(cluster: &Cluster) -> BTreeMap<NodeName, ZoneName> {
    let others = cluster.table().iter().map(|member| &member.record);
    others
        .chain(std::iter::once(cluster.own()))
        .filter(|record| record.state == MemberState::Alive)
        .map(|record| (record.name.clone(), record.location.zone.clone()))
        .collect()
}
