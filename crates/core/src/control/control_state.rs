//! The control state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::config::{
    Change, ChangeRefusal, Compactor, ConfigReplica, ConfigSpread, LogReader, Proposals,
};
use crate::dispatch::RoutingSnapshot;
use crate::lifecycle::NodePhase;
use crate::timestamp::Timestamp;

use super::{
    ControlAction, ControlEvent, ControlSettings, OperationId, Outbox, PeerMessage, StoreAnswer,
    StoreOwner, StoreRequestId,
};

/// All control state of one router process.
#[derive(Debug)]
pub struct ControlState {
    settings: ControlSettings,
    phase: NodePhase,
    replica: ConfigReplica,
    spread: ConfigSpread,
    proposals: Proposals,
    log_reader: LogReader,
    compactor: Compactor,
    outbox: Outbox,
}

impl ControlState {
    /// How often [`ControlEvent::Tick`] is due.
    pub const TICK: Duration = Duration::from_millis(100);

    /// State of a process that starts.
    pub fn new(settings: ControlSettings) -> Self {
        Self {
            settings,
            phase: NodePhase::Starting,
            replica: ConfigReplica::default(),
            spread: ConfigSpread::default(),
            proposals: Proposals::default(),
            log_reader: LogReader::default(),
            compactor: Compactor::default(),
            outbox: Outbox::default(),
        }
    }

    /// Takes an event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: ControlEvent,
        now: Timestamp,
        actions: &mut Vec<ControlAction>,
    ) {
        let version = self.replica.version();
        self.react(event, now);
        if self.replica.version() != version {
            self.configuration_changed(now);
        }
        self.outbox.drain_into(actions);
    }

    /// What the node was told about itself.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Its phase.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        self.replica.catalog()
    }

    /// Its copy of the configuration, with the latest changes.
    pub fn replica(&self) -> &ConfigReplica {
        &self.replica
    }

    fn react(&mut self, event: ControlEvent, now: Timestamp) {
        match event {
            ControlEvent::Started => self.start(),
            ControlEvent::PeerMessageReceived { from, message } => {
                self.peer_message(from, message, now);
            }
            ControlEvent::StreamFailed { to } => self.spread.unreachable(to),
            ControlEvent::StoreAnswered { id, answer } => self.store_answered(id, answer, now),
            ControlEvent::Watch(event) => {
                self.log_reader
                    .watch(event, &mut self.replica, now, &mut self.outbox);
            }
            ControlEvent::MachineListRead(_) => {}
            ControlEvent::OperatorChange {
                operation,
                change,
                dry_run,
            } => self.operator_change(operation, change, dry_run, now),
            ControlEvent::StatusRequested { .. } => {}
            ControlEvent::BackEndObserved { .. } => {}
            ControlEvent::StopRequested => self.enter(NodePhase::Draining),
            ControlEvent::TrafficEnded => self.enter(NodePhase::Stopped),
            ControlEvent::Tick => self.tick(now),
        }
    }

    fn start(&mut self) {
        self.publish();
        self.log_reader.set_active(true, &mut self.outbox);
    }

    fn tick(&mut self, now: Timestamp) {
        let outbox = &mut self.outbox;
        self.proposals.tick(&mut self.replica, now, outbox);
        self.log_reader.tick(&self.replica, now, outbox);
        self.compactor.tick(&self.replica, now, outbox);
        self.spread.tick(&self.replica, now, outbox);
        self.announce_configuration(now);
    }

    fn peer_message(&mut self, from: SocketAddr, message: PeerMessage, now: Timestamp) {
        if let PeerMessage::Config(message) = message {
            self.spread
                .receive(from, message, &mut self.replica, now, &mut self.outbox);
        }
    }

    fn store_answered(&mut self, id: StoreRequestId, answer: StoreAnswer, now: Timestamp) {
        let outbox = &mut self.outbox;
        let replica = &mut self.replica;
        match outbox.take_owner(id) {
            Some(StoreOwner::Proposals) => {
                self.proposals
                    .store_answered(id, answer, replica, now, outbox);
            }
            Some(StoreOwner::LogReader) => {
                self.log_reader
                    .store_answered(id, answer, replica, now, outbox);
            }
            Some(StoreOwner::Compactor) => {
                self.compactor
                    .store_answered(id, answer, replica, now, outbox);
            }
            None => {}
        }
        if self.phase == NodePhase::Starting && self.log_reader.has_listed() {
            self.enter(NodePhase::Serving);
        }
    }

    fn operator_change(
        &mut self,
        operation: OperationId,
        change: Change,
        dry_run: bool,
        now: Timestamp,
    ) {
        if matches!(self.phase, NodePhase::Draining | NodePhase::Stopped) {
            let phase = self.phase;
            self.outbox.push(ControlAction::AnswerOperator {
                operation,
                answer: Err(ChangeRefusal::NotServing { phase }),
            });
            return;
        }
        self.proposals.submit(
            operation,
            change,
            dry_run,
            &mut self.replica,
            now,
            &mut self.outbox,
        );
    }

    fn configuration_changed(&mut self, now: Timestamp) {
        self.publish();
        self.proposals
            .advance(&mut self.replica, now, &mut self.outbox);
        self.announce_configuration(now);
    }

    fn announce_configuration(&mut self, now: Timestamp) {
        if self.spread.should_announce(&self.replica, now) {
            let targets = self.settings.seeds.clone();
            self.spread
                .announce(&targets, &self.replica, now, &mut self.outbox);
        }
    }

    fn enter(&mut self, phase: NodePhase) {
        self.phase = phase;
        self.outbox.push(ControlAction::EnterPhase(phase));
    }

    fn publish(&mut self) {
        let snapshot = RoutingSnapshot {
            catalog: Arc::clone(self.replica.catalog()),
            leaving: BTreeSet::new(),
        };
        self.outbox
            .push(ControlAction::PublishSnapshot(Arc::new(snapshot)));
    }
}
