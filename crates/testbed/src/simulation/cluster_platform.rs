//! Router processes' links to the platform in the simulation.

use std::time::Duration;

use ryerouter_core::control::{
    ControlEvent, MachineEntry, MachineRole, MachineState, ObjectPrefix, StoreAnswer, StoreCall,
    StoreFailure, StoreRequestId, StoreRevision, WatchEvent,
};

use super::cluster::node_endpoint;
use super::{Cluster, ClusterEvent, ClusterLayout, Endpoint, Mutation, ProcessId};

/// Time after which a call without an answer counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between readings of the machine list.
const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// How far the machine list lags.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(5);

impl Cluster {
    pub(super) fn call_store(&mut self, process: ProcessId, id: StoreRequestId, call: StoreCall) {
        match self
            .network
            .stream(node_endpoint(process), Endpoint::Platform)
        {
            Some(delay) => self.schedule(delay, ClusterEvent::StoreCalled { process, id, call }),
            None => self.call_failed(process, id),
        }
    }

    fn call_failed(&mut self, process: ProcessId, id: StoreRequestId) {
        let failure = StoreFailure::Unavailable {
            detail: "no answer in time".to_owned(),
        };
        let answer = StoreAnswer::Failed(failure);
        self.schedule(
            CALL_TIMEOUT,
            ClusterEvent::StoreAnswered {
                process,
                id,
                answer,
            },
        );
    }

    pub(super) fn store_called(
        &mut self,
        process: ProcessId,
        id: StoreRequestId,
        call: &StoreCall,
    ) {
        let ignore_precondition = self.has_mutation(Mutation::WriteWithoutCompare);
        let Some(reply) = self.platform.call(call, ignore_precondition) else {
            self.call_failed(process, id);
            return;
        };
        self.push_watch_events();
        let back = self
            .network
            .stream(Endpoint::Platform, node_endpoint(process));
        match (reply.answer, back) {
            (Some(answer), Some(delay)) if reply.takes + delay < CALL_TIMEOUT => {
                let event = ClusterEvent::StoreAnswered {
                    process,
                    id,
                    answer,
                };
                self.schedule(reply.takes + delay, event);
            }
            _ => self.call_failed(process, id),
        }
    }

    pub(super) fn store_answered(
        &mut self,
        process: ProcessId,
        id: StoreRequestId,
        answer: StoreAnswer,
    ) {
        self.control(process, ControlEvent::StoreAnswered { id, answer });
    }

    pub(super) fn start_watch(
        &mut self,
        process: ProcessId,
        prefix: ObjectPrefix,
        from: StoreRevision,
    ) {
        let event = match self
            .network
            .stream(node_endpoint(process), Endpoint::Platform)
        {
            Some(delay) if self.platform.is_up() => {
                let event = ClusterEvent::WatchStarted {
                    process,
                    prefix,
                    from,
                };
                self.schedule(delay, event);
                return;
            }
            _ => ClusterEvent::Watched {
                process,
                event: WatchEvent::Broken { prefix },
            },
        };
        self.schedule(CALL_TIMEOUT, event);
    }

    pub(super) fn stop_watch(&mut self, process: ProcessId, prefix: ObjectPrefix) {
        if let Some(running) = self.running(process) {
            running.watches.remove(&prefix);
        }
    }

    pub(super) fn watch_started(&mut self, process: ProcessId, prefix: ObjectPrefix, from: u64) {
        if let Some(running) = self.running(process) {
            running.watches.insert(prefix, from.saturating_sub(1));
        }
        self.push_watch_events();
    }

    /// Sends every watcher what it has not been sent.
    fn push_watch_events(&mut self) {
        if self.has_mutation(Mutation::ConfigurationNotSpread)
            && self.now_us > self.load_ends_us() / 4
        {
            return;
        }
        for node in 0..self.nodes.len() {
            let process = ProcessId {
                node,
                start: self.nodes[node].start,
            };
            let Some(running) = self.running(process) else {
                continue;
            };
            for (prefix, sent) in running.watches.clone() {
                self.push_to_watcher(process, prefix, sent);
            }
        }
    }

    fn push_to_watcher(&mut self, process: ProcessId, prefix: ObjectPrefix, sent: u64) {
        let events = self.platform.watch_events(&prefix.to_string(), sent);
        let Some(last) = events.last().map(|(revision, _)| *revision) else {
            return;
        };
        let Some(delay) = self
            .network
            .stream(Endpoint::Platform, node_endpoint(process))
        else {
            self.break_watch(process, prefix);
            return;
        };
        for (_, event) in events {
            self.schedule(delay, ClusterEvent::Watched { process, event });
        }
        if let Some(running) = self.running(process) {
            running.watches.insert(prefix, last);
        }
    }

    fn break_watch(&mut self, process: ProcessId, prefix: ObjectPrefix) {
        self.stop_watch(process, prefix);
        let event = WatchEvent::Broken { prefix };
        self.schedule(CALL_TIMEOUT, ClusterEvent::Watched { process, event });
    }

    /// Ends every watch, as a platform does that has gone down or has compacted its history.
    pub(super) fn end_watches(&mut self, compacted: bool) {
        for node in 0..self.nodes.len() {
            let process = ProcessId {
                node,
                start: self.nodes[node].start,
            };
            let Some(running) = self.running(process) else {
                continue;
            };
            let prefixes: Vec<ObjectPrefix> = running.watches.keys().copied().collect();
            running.watches.clear();
            for prefix in prefixes {
                let event = if compacted {
                    WatchEvent::Compacted { prefix }
                } else {
                    WatchEvent::Broken { prefix }
                };
                let delay = Duration::from_millis(5);
                self.schedule(delay, ClusterEvent::Watched { process, event });
            }
        }
    }

    pub(super) fn watched(&mut self, process: ProcessId, event: WatchEvent) {
        self.control(process, ControlEvent::Watch(event));
    }

    pub(super) fn set_machine_list(&mut self, process: ProcessId, reads: bool) {
        let Some(running) = self.running(process) else {
            return;
        };
        let started = reads && !running.reads_machine_list;
        running.reads_machine_list = reads;
        if started {
            self.schedule(Duration::ZERO, ClusterEvent::MachineListDue(process));
        }
    }

    pub(super) fn machine_list_due(&mut self, process: ProcessId) {
        if !self
            .running(process)
            .is_some_and(|running| running.reads_machine_list)
        {
            return;
        }
        let reachable = self
            .network
            .passes(node_endpoint(process), Endpoint::Platform);
        if reachable && self.platform.is_up() {
            let machines = self.machine_list();
            let event = ClusterEvent::MachineListRead { process, machines };
            self.schedule(MACHINE_LIST_LAG, event);
        }
        self.schedule(MACHINE_LIST_INTERVAL, ClusterEvent::MachineListDue(process));
    }

    pub(super) fn machine_list_read(&mut self, process: ProcessId, machines: Vec<MachineEntry>) {
        self.control(process, ControlEvent::MachineListRead(machines));
    }

    fn machine_list(&self) -> Vec<MachineEntry> {
        let routers = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].running.is_some())
            .map(|node| {
                self.machine_entry(node, ClusterLayout::node_address(node), MachineRole::Router)
            });
        let back_ends = (0..self.back_ends.len())
            .filter(|index| self.back_ends[*index].alive)
            .map(|index| {
                let role = if index < self.settings.engines {
                    MachineRole::Engine
                } else {
                    MachineRole::Service
                };
                self.machine_entry(index, ClusterLayout::back_end_address(index), role)
            });
        routers.chain(back_ends).collect()
    }

    fn machine_entry(
        &self,
        index: usize,
        address: std::net::SocketAddr,
        role: MachineRole,
    ) -> MachineEntry {
        MachineEntry {
            address,
            role,
            zone: ClusterLayout::zone_name(self.layout.location(index))
                .as_str()
                .into(),
            state: MachineState::Live,
        }
    }
}
