//! Carries out actions of the control state.

use ryerouter_core::control::{
    ObjectPrefix, PeerMessage, StoreCall, StoreRequestId, StoreRevision,
};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::peer::{DatagramLink, StreamLinks};
use crate::platform::{MachineClient, ObjectClient};

use super::engine_worker::EngineWorker;
use super::{ControlInput, ControlOptions, EngineCaller, MachinePoller, StoreWorker, WatchWorker};

/// Carries out actions of the control state. Nothing here waits: each action starts a task or puts
/// a message into a bounded queue.
pub(super) struct ControlIo {
    store: StoreWorker,
    watches: WatchWorker,
    machines: MachinePoller,
    engines: EngineWorker,
    datagrams: Arc<DatagramLink>,
    streams: StreamLinks,
}

impl ControlIo {
    pub(super) fn new(
        options: &ControlOptions,
        input: &ControlInput,
        datagrams: Arc<DatagramLink>,
        streams: StreamLinks,
        logger: &Logger,
    ) -> Self {
        let limits = options.platform_limits;
        let objects = ObjectClient::new(options.object_api, limits);
        let machines = MachineClient::new(options.machine_list, limits);
        Self {
            store: StoreWorker::new(objects.clone(), input.clone()),
            watches: WatchWorker::new(objects, input.clone(), logger.clone()),
            machines: MachinePoller::new(
                machines,
                options.machine_list_interval,
                input.clone(),
                logger.clone(),
            ),
            engines: EngineWorker::new(EngineCaller::new(limits), input.clone()),
            datagrams,
            streams,
        }
    }

    /// Calls to engines.
    pub(super) fn engines(&self) -> &EngineWorker {
        &self.engines
    }

    /// Whether the object API answered the latest call.
    pub(super) fn object_api_reachable(&self) -> bool {
        self.store.is_reachable()
    }

    pub(super) fn send_datagram(&self, to: SocketAddr, message: &PeerMessage) {
        self.datagrams.send(to, message);
    }

    pub(super) fn send_stream(&mut self, to: SocketAddr, message: PeerMessage) {
        self.streams.send(to, message);
    }

    pub(super) fn call_store(&self, id: StoreRequestId, call: StoreCall) {
        self.store.start(id, call);
    }

    pub(super) fn start_watch(&mut self, prefix: ObjectPrefix, from: StoreRevision) {
        self.watches.start(prefix, from);
    }

    pub(super) fn stop_watch(&mut self, prefix: ObjectPrefix) {
        self.watches.stop(prefix);
    }

    pub(super) fn start_machine_list(&mut self) {
        self.machines.start();
    }

    pub(super) fn stop_machine_list(&mut self) {
        self.machines.stop();
    }
}
