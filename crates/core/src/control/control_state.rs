//! The control state.

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::catalog::Catalog;
use crate::config::{Change, ChangeRefusal, ConfigReplica, LogEntry};
use crate::dispatch::RoutingSnapshot;
use crate::identity::{ConfigVersion, NodeName};
use crate::lifecycle::{LifecycleEvent, NodeLifecycle, NodePhase};
use crate::membership::MembershipTable;
use crate::order::HeldLease;
use crate::timestamp::Timestamp;

use super::{
    Claims, Cluster, Configuration, ControlAction, ControlEvent, ControlSettings, Director, Limits,
    OperationId, Outbox, PeerMessage, StatusQuery, StoreOwner,
};

/// All control state of one router process.
pub struct ControlState {
    settings: ControlSettings,
    lifecycle: StateMachine<NodeLifecycle>,
    cluster: Cluster,
    configuration: Configuration,
    claims: Claims,
    limits: Limits,
    director: Director,
    /// Number of the latest change that this node itself wants.
    own_operations: u64,
    status_queries: Vec<StatusQuery>,
    outbox: Outbox,
}

impl ControlState {
    /// How often [`ControlEvent::Tick`] is due.
    pub const TICK: Duration = Duration::from_millis(100);

    /// State of a process that starts.
    pub fn new(settings: ControlSettings) -> Self {
        Self {
            lifecycle: NodeLifecycle.state_machine(),
            cluster: Cluster::new(&settings),
            configuration: Configuration::default(),
            claims: Claims::new(&settings),
            limits: Limits::new(&settings),
            director: Director::new(&settings),
            own_operations: 0,
            status_queries: Vec::new(),
            outbox: Outbox::default(),
            settings,
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: ControlEvent,
        now: Timestamp,
        actions: &mut Vec<ControlAction>,
    ) {
        let version = self.config_version();
        self.react(event, now);
        self.follow_configuration(version, now);
        self.cluster.flush(
            self.configuration.replica().version(),
            now,
            &mut self.outbox,
        );
        self.outbox.drain_into(actions);
    }

    /// What the node was told about itself.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Its phase.
    pub fn phase(&self) -> NodePhase {
        self.lifecycle.state().into()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        self.configuration.replica().catalog()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.configuration.replica().version()
    }

    /// Changes after `version` in order, or `None` when some of them are not kept any more.
    pub fn entries_after(&self, version: ConfigVersion) -> Option<Vec<Arc<LogEntry>>> {
        let kept = self.configuration.replica().entries_after(version)?;
        Some(
            kept.into_iter()
                .map(|kept| Arc::clone(&kept.entry))
                .collect(),
        )
    }

    /// All other nodes.
    pub fn members(&self) -> &MembershipTable {
        self.cluster.table()
    }

    /// The address of a node, this one among them.
    pub fn address_of(&self, name: &NodeName) -> Option<SocketAddr> {
        self.cluster.address_of(name)
    }

    /// Its copy of the configuration, with the latest changes.
    pub fn replica(&self) -> &ConfigReplica {
        self.configuration.replica()
    }

    /// The director lease, while this node holds it.
    pub fn director_lease(&self, now: Timestamp) -> Option<HeldLease> {
        self.director.held(now)
    }

    fn react(&mut self, event: ControlEvent, now: Timestamp) {
        match event {
            ControlEvent::Started => self.start(now),
            ControlEvent::PeerMessageReceived { from, message } => {
                self.peer_message(from, message, now);
            }
            ControlEvent::StreamFailed { to } => self.configuration.unreachable(to),
            ControlEvent::StoreAnswered { id, answer } => match self.outbox.take_owner(id) {
                Some(StoreOwner::Lease) => {
                    self.director.store_answered(answer, now, &mut self.outbox);
                }
                Some(owner) => {
                    self.configuration
                        .store_answered(owner, id, answer, now, &mut self.outbox);
                }
                None => {}
            },
            ControlEvent::Watch(event) => {
                self.configuration.watch(event, now, &mut self.outbox);
            }
            ControlEvent::MachineListRead(entries) => {
                self.cluster.read_machines(&entries, now);
                self.claims.read_machines(&entries, now);
            }
            ControlEvent::ClaimRequested {
                operation,
                tenant,
                key,
            } => {
                let (cluster, outbox) = (&self.cluster, &mut self.outbox);
                self.claims
                    .request(operation, tenant, key, cluster, now, outbox);
            }
            ControlEvent::ClaimReleased { tenant, key } => {
                let (cluster, outbox) = (&self.cluster, &mut self.outbox);
                self.claims.release(&tenant, &key, cluster, now, outbox);
            }
            ControlEvent::LimitSent(send) => {
                let (cluster, outbox) = (&self.cluster, &mut self.outbox);
                self.limits.send(send, cluster, now, outbox);
            }
            ControlEvent::ClaimEnded { tenant, key } => {
                let (cluster, outbox) = (&self.cluster, &mut self.outbox);
                self.claims.end(&tenant, &key, cluster, now, outbox);
            }
            ControlEvent::OperatorChange {
                operation,
                change,
                dry_run,
            } => self.operator_change(operation, change, dry_run, now),
            ControlEvent::StatusRequested { operation } => self.status_requested(operation, now),
            ControlEvent::BackEndObserved {
                back_end,
                incarnation,
                draining,
            } => {
                let outbox = &mut self.outbox;
                self.director
                    .incarnation_seen(back_end.clone(), incarnation, now, outbox);
                self.cluster.observe(back_end, incarnation, draining, now);
            }
            ControlEvent::EngineReported { back_end, report } => {
                let outbox = &mut self.outbox;
                self.director.engine_reported(back_end, report, now, outbox);
            }
            ControlEvent::OrderAnswered { back_end, answer } => {
                let outbox = &mut self.outbox;
                self.director.order_answered(back_end, answer, now, outbox);
            }
            ControlEvent::StageMeasured { asker, measurement } => {
                let (cluster, outbox) = (&self.cluster, &mut self.outbox);
                self.director
                    .answer_measurement(&asker, measurement, cluster, now, outbox);
            }
            ControlEvent::StopRequested => self.advance(LifecycleEvent::StopRequested),
            ControlEvent::TrafficEnded => self.advance(LifecycleEvent::TrafficEnded),
            ControlEvent::Tick => self.tick(now),
        }
    }

    fn start(&mut self, now: Timestamp) {
        self.claims.start(now);
        self.cluster.start(now, &mut self.outbox);
        self.configuration
            .tick(&mut self.cluster, now, &mut self.outbox);
        self.publish();
    }

    fn tick(&mut self, now: Timestamp) {
        self.cluster.tick(now, &mut self.outbox);
        self.configuration
            .tick(&mut self.cluster, now, &mut self.outbox);
        self.tick_claims(now);
        self.tick_director(now);
        self.answer_status(now);
    }

    fn tick_claims(&mut self, now: Timestamp) {
        // Two planners at once do no harm, so the first reader plans without a lease.
        let plans = self.settings.may_direct
            && self.phase() == NodePhase::Serving
            && self.cluster.is_first(now);
        let (cluster, outbox) = (&self.cluster, &mut self.outbox);
        if let Some(change) = self.claims.tick(plans, cluster, now, outbox) {
            self.own_operations += 1;
            let operation = OperationId::own(self.own_operations);
            self.operator_change(operation, change, false, now);
        }
    }

    fn tick_director(&mut self, now: Timestamp) {
        let may_hold = self.settings.may_direct && self.phase() == NodePhase::Serving;
        let (cluster, outbox) = (&self.cluster, &mut self.outbox);
        self.director.tick(may_hold, cluster, now, outbox);
        for change in self.director.take_changes() {
            self.own_operations += 1;
            let operation = OperationId::own(self.own_operations);
            self.operator_change(operation, change, false, now);
        }
    }

    fn peer_message(&mut self, from: SocketAddr, message: PeerMessage, now: Timestamp) {
        let outbox = &mut self.outbox;
        match message {
            PeerMessage::Gossip(message) => {
                let version = message.config_version;
                self.cluster.receive_gossip(from, message, now, outbox);
                self.configuration.hear_version(from, version, now, outbox);
            }
            PeerMessage::Sync(message) => self.cluster.receive_sync(from, message, now, outbox),
            PeerMessage::Config(message) => {
                self.configuration.receive(from, message, now, outbox);
            }
            PeerMessage::Limit { from, message } => {
                let cluster = &self.cluster;
                self.limits.receive(from, message, cluster, now, outbox);
            }
            PeerMessage::Stage { from, message } => {
                self.director.receive(from, message, now, outbox);
            }
            PeerMessage::Claim { from, message } => {
                let cluster = &self.cluster;
                self.claims.receive(from, message, cluster, now, outbox);
            }
        }
    }

    fn operator_change(
        &mut self,
        operation: OperationId,
        change: Change,
        dry_run: bool,
        now: Timestamp,
    ) {
        let phase = self.phase();
        if matches!(phase, NodePhase::Draining | NodePhase::Stopped) {
            self.outbox.push(ControlAction::AnswerOperator {
                operation,
                answer: Err(ChangeRefusal::NotServing { phase }),
            });
            return;
        }
        self.configuration
            .submit(operation, change, dry_run, now, &mut self.outbox);
    }

    fn status_requested(&mut self, operation: OperationId, now: Timestamp) {
        self.cluster.ask_all();
        self.status_queries.push(StatusQuery {
            operation,
            asked_at: now,
        });
    }

    fn answer_status(&mut self, now: Timestamp) {
        if self.status_queries.is_empty() {
            return;
        }
        let version = self.config_version();
        for query in std::mem::take(&mut self.status_queries) {
            if query.is_answered(self.cluster.table(), now) {
                self.outbox.push(ControlAction::AnswerStatus {
                    operation: query.operation,
                    status: self.cluster.status(version, now),
                });
            } else {
                self.status_queries.push(query);
            }
        }
    }

    /// Does what follows from a change of configuration or of leaving back ends.
    fn follow_configuration(&mut self, before: ConfigVersion, now: Timestamp) {
        if self.configuration.is_known() {
            self.advance(LifecycleEvent::ConfigurationKnown);
        }
        let changed = self.config_version() != before;
        let leaving_changed = self.cluster.take_register_changed();
        if changed {
            self.configuration
                .changed(&mut self.cluster, now, &mut self.outbox);
            let catalog = Arc::clone(self.catalog());
            self.claims.follow_roster(&catalog.claim_roster, now);
            self.limits
                .follow_catalog(&catalog, &self.cluster, now, &mut self.outbox);
            self.director
                .follow_catalog(&catalog, now, &mut self.outbox);
            self.cluster.register().forget_removed(&catalog);
        }
        if changed || leaving_changed {
            self.publish();
        }
    }

    fn advance(&mut self, event: LifecycleEvent) {
        let before = self.phase();
        self.lifecycle.handle(&event);
        let phase = self.phase();
        if phase == before {
            return;
        }
        if phase == NodePhase::Stopped {
            self.cluster.leave();
        }
        self.outbox.push(ControlAction::EnterPhase(phase));
    }

    fn publish(&mut self) {
        let catalog = Arc::clone(self.catalog());
        let leaving = self.cluster.register().leaving(&catalog);
        let snapshot = RoutingSnapshot { catalog, leaving };
        self.outbox
            .push(ControlAction::PublishSnapshot(Arc::new(snapshot)));
    }
}

impl Debug for ControlState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlState")
            .field("name", &self.settings.name)
            .field("phase", &self.phase())
            .field("config_version", &self.config_version())
            .finish_non_exhaustive()
    }
}
