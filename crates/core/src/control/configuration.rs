//! This node's part in agreeing on the configuration.

use std::net::SocketAddr;

use crate::config::{
    Change, Compactor, ConfigMessage, ConfigReplica, ConfigSpread, LogReader, Proposals,
};
use crate::identity::ConfigVersion;
use crate::timestamp::Timestamp;

use super::{
    Cluster, ControlAction, OperationId, Outbox, StoreAnswer, StoreOwner, StoreRequestId,
    WatchEvent,
};

/// This node's part in agreeing on the configuration: its copy, operators' changes, the reader of
/// the log when it is elected, and the spread to other nodes.
#[derive(Debug, Default)]
pub struct Configuration {
    replica: ConfigReplica,
    spread: ConfigSpread,
    proposals: Proposals,
    log_reader: LogReader,
    compactor: Compactor,
    reads_machines: bool,
}

impl Configuration {
    /// The copy in force.
    pub fn replica(&self) -> &ConfigReplica {
        &self.replica
    }

    /// Whether there is a configuration, or there certainly is none yet.
    pub fn is_known(&self) -> bool {
        self.replica.version() > ConfigVersion::default() || self.spread.is_known_empty()
    }

    /// Lets time pass.
    pub fn tick(&mut self, cluster: &mut Cluster, now: Timestamp, outbox: &mut Outbox) {
        self.set_reader(cluster.is_reader(now), outbox);
        self.proposals.tick(&mut self.replica, now, outbox);
        self.log_reader.tick(&self.replica, now, outbox);
        if self.log_reader.is_active() && cluster.is_first(now) {
            self.compactor.tick(&self.replica, now, outbox);
        }
        if self.spread.should_ask(&self.replica, now) {
            let targets = cluster.bootstrap_targets(ConfigSpread::ASKED_PEERS);
            self.spread.ask(&targets, outbox);
        }
        self.spread.tick(&self.replica, now, outbox);
        self.announce(cluster, now, outbox);
    }

    /// Takes a peer's message.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: ConfigMessage,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.spread
            .receive(from, message, &mut self.replica, now, outbox);
    }

    /// Takes the version that a peer's gossip carries.
    pub fn hear_version(
        &mut self,
        from: SocketAddr,
        version: ConfigVersion,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.spread
            .hear_version(from, version, &self.replica, now, outbox);
    }

    /// A peer could not be reached.
    pub fn unreachable(&mut self, peer: SocketAddr) {
        self.spread.unreachable(peer);
    }

    /// Takes an answer of the object API.
    pub fn store_answered(
        &mut self,
        owner: StoreOwner,
        id: StoreRequestId,
        answer: StoreAnswer,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let replica = &mut self.replica;
        match owner {
            StoreOwner::Proposals => self
                .proposals
                .store_answered(id, answer, replica, now, outbox),
            StoreOwner::LogReader => {
                self.log_reader
                    .store_answered(id, answer, replica, now, outbox);
                if self.log_reader.has_listed() {
                    self.spread.know_empty();
                }
            }
            StoreOwner::Compactor => self
                .compactor
                .store_answered(id, answer, replica, now, outbox),
            // The control state gives these to the director.
            StoreOwner::Lease => {}
        }
    }

    /// Takes an event of the watch of the log.
    pub fn watch(&mut self, event: WatchEvent, now: Timestamp, outbox: &mut Outbox) {
        self.log_reader.watch(event, &mut self.replica, now, outbox);
    }

    /// Takes an operator's change.
    pub fn submit(
        &mut self,
        operation: OperationId,
        change: Change,
        dry_run: bool,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.proposals
            .submit(operation, change, dry_run, &mut self.replica, now, outbox);
    }

    /// The copy has changed: whoever waits for that goes on, and others hear of it.
    pub fn changed(&mut self, cluster: &mut Cluster, now: Timestamp, outbox: &mut Outbox) {
        self.proposals.advance(&mut self.replica, now, outbox);
        self.announce(cluster, now, outbox);
    }

    fn set_reader(&mut self, is_reader: bool, outbox: &mut Outbox) {
        self.log_reader.set_active(is_reader, outbox);
        if is_reader == self.reads_machines {
            return;
        }
        self.reads_machines = is_reader;
        outbox.push(if is_reader {
            ControlAction::StartMachineList
        } else {
            ControlAction::StopMachineList
        });
    }

    fn announce(&mut self, cluster: &mut Cluster, now: Timestamp, outbox: &mut Outbox) {
        if self.spread.should_announce(&self.replica, now) {
            let targets = cluster.urgent_targets();
            self.spread.announce(&targets, &self.replica, now, outbox);
        }
    }
}
