//! This node's part in directing engines and migration stages.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::config::Change;
use crate::identity::{BackEndName, Incarnation, NodeName, StageName};
use crate::membership::MemberState;
use crate::migration::{
    MigrationAction, MigrationDirector, MigrationEvent, MigrationSettings, StageMeasurement,
    StageMessage,
};
use crate::order::{
    DirectorAction, DirectorEvent, DirectorSettings, EngineReport, HeldLease, LeaseAction,
    LeaseEvent, LeaseHolder, LeaseSettings, OrderAnswer, OrderDirector, is_candidate,
};
use crate::timestamp::Timestamp;

use super::{
    Cluster, ControlAction, ControlSettings, Outbox, PeerMessage, StoreAnswer, StoreOwner,
};

/// Name of the lease that one node at a time holds to direct.
const LEASE: &str = "director";

/// This node's part in directing engines and migration stages: it tries for the lease where it is
/// a candidate, and directs while it holds it.
#[derive(Debug)]
pub struct Director {
    name: NodeName,
    lease: LeaseHolder,
    held: Option<HeldLease>,
    orders: OrderDirector,
    migration: MigrationDirector,
    slow_tick_at: Timestamp,
    /// Where the next collection of measurements starts among the nodes.
    collected: usize,
    /// Changes of configuration that it wants.
    changes: Vec<Change>,
}

impl Director {
    /// How often candidacy and stages are looked at.
    pub const SLOW_TICK: Duration = Duration::from_secs(1);
    /// Nodes that are asked at once for what they measured.
    pub const COLLECT_FROM: usize = 32;

    /// State of a process that starts.
    pub fn new(settings: &ControlSettings) -> Self {
        let name = settings.name.clone();
        let incarnation = settings.incarnation;
        Self {
            lease: LeaseHolder::new(LEASE, name.clone(), incarnation, LeaseSettings::default()),
            name,
            held: None,
            orders: OrderDirector::new(DirectorSettings::default()),
            migration: MigrationDirector::new(MigrationSettings::default()),
            slow_tick_at: Timestamp::ZERO,
            collected: 0,
            changes: Vec::new(),
        }
    }

    /// The lease, while this node holds it.
    pub fn held(&self, now: Timestamp) -> Option<HeldLease> {
        self.lease.held(now)
    }

    /// Changes of configuration that it wants; each is given once.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the configuration in force.
    pub fn follow_catalog(&mut self, catalog: &Arc<Catalog>, now: Timestamp, outbox: &mut Outbox) {
        self.order(
            DirectorEvent::CatalogChanged(Arc::clone(catalog)),
            now,
            outbox,
        );
        let event = MigrationEvent::CatalogChanged(Arc::clone(catalog));
        self.migration.handle(event, now, &mut Vec::new());
    }

    /// Lets time pass; `may_hold` says whether this node may direct at all.
    pub fn tick(&mut self, may_hold: bool, cluster: &Cluster, now: Timestamp, outbox: &mut Outbox) {
        self.hold(LeaseEvent::Tick, now, outbox);
        if now >= self.slow_tick_at {
            self.slow_tick_at = now.after(Self::SLOW_TICK);
            let candidate = may_hold && self.is_candidate(cluster);
            self.hold(LeaseEvent::Candidacy(candidate), now, outbox);
            self.migrate(cluster, now, outbox);
        }
        if self.held.is_some() {
            self.order(DirectorEvent::Tick, now, outbox);
        }
    }

    /// Takes an answer of the object API.
    pub fn store_answered(&mut self, answer: StoreAnswer, now: Timestamp, outbox: &mut Outbox) {
        self.hold(LeaseEvent::StoreAnswered(answer), now, outbox);
    }

    /// Takes an engine's load report, or that there was none.
    pub fn engine_reported(
        &mut self,
        back_end: BackEndName,
        report: Option<EngineReport>,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.order(DirectorEvent::Reported { back_end, report }, now, outbox);
    }

    /// Takes an engine's answer to an order.
    pub fn order_answered(
        &mut self,
        back_end: BackEndName,
        answer: OrderAnswer,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let event = DirectorEvent::OrderAnswered { back_end, answer };
        self.order(event, now, outbox);
    }

    /// Traffic saw a process of a back end.
    pub fn incarnation_seen(
        &mut self,
        back_end: BackEndName,
        incarnation: Incarnation,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let event = DirectorEvent::IncarnationSeen {
            back_end,
            incarnation,
        };
        self.order(event, now, outbox);
    }

    /// Takes a peer's message about a stage.
    pub fn receive(
        &mut self,
        from: NodeName,
        message: StageMessage,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        match message {
            StageMessage::Collect(stage) => {
                outbox.push(ControlAction::MeasureStage { stage, asker: from });
            }
            StageMessage::Measured(measurement) => self.measured(measurement, now),
        }
    }

    /// Passes what this node measured to the director that asked.
    pub fn answer_measurement(
        &mut self,
        asker: &NodeName,
        measurement: StageMeasurement,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        if *asker == self.name {
            self.measured(measurement, now);
        } else if let Some(address) = cluster.address_of(asker) {
            let message = PeerMessage::Stage {
                from: self.name.clone(),
                message: StageMessage::Measured(measurement),
            };
            outbox.stream(address, message);
        }
    }

    fn measured(&mut self, measurement: StageMeasurement, now: Timestamp) {
        let event = MigrationEvent::Measured(measurement);
        self.migration.handle(event, now, &mut Vec::new());
    }

    fn is_candidate(&self, cluster: &Cluster) -> bool {
        let members = cluster.table().iter();
        let alive = members
            .filter(|member| member.record.state == MemberState::Alive)
            .map(|member| &member.record.name);
        is_candidate(&self.name, LEASE, alive)
    }

    fn hold(&mut self, event: LeaseEvent, now: Timestamp, outbox: &mut Outbox) {
        let mut actions = Vec::new();
        self.lease.handle(event, now, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call(call) => {
                    outbox.store(StoreOwner::Lease, call);
                }
                LeaseAction::Changed(held) => {
                    self.held = held;
                    self.order(DirectorEvent::LeaseChanged(held), now, outbox);
                    let event = MigrationEvent::LeaseChanged(held);
                    self.migration.handle(event, now, &mut Vec::new());
                }
            }
        }
    }

    fn order(&mut self, event: DirectorEvent, now: Timestamp, outbox: &mut Outbox) {
        let mut actions = Vec::new();
        self.orders.handle(event, now, &mut actions);
        for action in actions {
            match action {
                DirectorAction::Poll { back_end, address } => {
                    outbox.push(ControlAction::PollEngine { back_end, address });
                }
                DirectorAction::Order {
                    back_end,
                    address,
                    order,
                } => {
                    let valid_until = self.held.map(|held| held.valid_until);
                    outbox.push(ControlAction::OrderEngine {
                        back_end,
                        address,
                        order,
                        valid_until: valid_until.unwrap_or_default(),
                    });
                }
                DirectorAction::Propose(change) => self.changes.push(change),
                DirectorAction::Superseded(newest) => {
                    self.hold(LeaseEvent::Superseded(newest), now, outbox);
                }
            }
        }
    }

    fn migrate(&mut self, cluster: &Cluster, now: Timestamp, outbox: &mut Outbox) {
        let mut actions = Vec::new();
        self.migration
            .handle(MigrationEvent::Tick, now, &mut actions);
        for action in actions {
            match action {
                MigrationAction::Collect(stage) => self.collect(&stage, cluster, outbox),
                MigrationAction::Propose(change) => self.changes.push(change),
            }
        }
    }

    /// Asks some nodes, others each time, so that the cost does not grow with their number.
    fn collect(&mut self, stage: &StageName, cluster: &Cluster, outbox: &mut Outbox) {
        outbox.push(ControlAction::MeasureStage {
            stage: stage.clone(),
            asker: self.name.clone(),
        });
        let members: Vec<_> = cluster
            .table()
            .iter()
            .filter(|member| member.record.state == MemberState::Alive)
            .map(|member| member.record.address)
            .collect();
        let start = self.collected;
        let asked = members.len().min(Self::COLLECT_FROM);
        self.collected = self.collected.wrapping_add(asked);
        for offset in 0..asked {
            let address = members[start.wrapping_add(offset) % members.len()];
            let message = PeerMessage::Stage {
                from: self.name.clone(),
                message: StageMessage::Collect(stage.clone()),
            };
            outbox.stream(address, message);
        }
    }
}
