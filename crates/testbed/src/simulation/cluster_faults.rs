//! Faults in the simulation.

use std::time::Duration;

use rand::Rng;
use ryerouter_core::config::Resource;
use ryerouter_core::control::ControlEvent;

use super::cluster_layout::put;
use super::{
    Cluster, ClusterEvent, ClusterLayout, Endpoint, Fault, Mutation, NetworkConditions, ProcessId,
    RunningProcess, StoreMode,
};
use crate::oracle::Observation;

/// Time from an operator's wish to drain a back end to its planned stop.
const DRAIN_BEFORE_STOP: Duration = Duration::from_secs(6);

impl Cluster {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        self.counters.faults += 1;
        match fault {
            Fault::BackEndCrash { back_end, away } => self.crash_back_end(back_end, away),
            Fault::BackEndFreeze { back_end } => self.back_ends[back_end].frozen = true,
            Fault::BackEndPlannedStop { back_end } => self.drain_back_end(back_end),
            Fault::NodeCrash { node, away } => self.crash_node(node, away),
            Fault::NodeHerd { away } => {
                for node in 0..self.nodes.len() {
                    self.crash_node(node, away);
                }
            }
            Fault::NodePlannedStop { node } => self.stop_node(node),
            Fault::NodePause { node, pause } => self.pause_node(node, pause),
            Fault::DirectorPause { pause } => {
                if let Some(node) = self.directing_node() {
                    self.pause_node(node, pause);
                }
            }
            Fault::Cut(cut) => {
                self.network.cut(cut);
                self.tell_reachability();
            }
            Fault::PoorNetwork => self.set_poor_network(true),
            Fault::StoreDown => {
                self.platform.mode = StoreMode::Down;
                self.end_watches(false);
            }
            Fault::StoreSlow(delay) => self.platform.mode = StoreMode::Slow(delay),
            Fault::StoreAnswersLost => self.platform.mode = StoreMode::AnswersLost,
            Fault::StoreStaleReads => self.platform.mode = StoreMode::StaleReads,
            Fault::WatchGap => self.end_watches(true),
            Fault::OperatorRace => self.race_operators(),
            Fault::Rollout => self.roll_out(),
            Fault::HotPrefixShift => self.prefix_epoch += 1,
        }
        self.excuse_untaught();
    }

    /// A process that starts while nobody is left to teach it cannot become ready.
    fn excuse_untaught(&mut self) {
        for node in 0..self.nodes.len() {
            let is_starting = |running: &RunningProcess| !running.ready;
            if self.nodes[node].running.as_ref().is_some_and(is_starting)
                && !self.someone_can_teach(node)
            {
                let node = ClusterLayout::node_name(node);
                self.observe(Observation::NodeUnreachable { node });
            }
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::BackEndFreeze { back_end } => self.back_ends[back_end].frozen = false,
            Fault::BackEndPlannedStop { back_end } => self.take_back(back_end),
            Fault::Cut(cut) => {
                self.network.heal(cut);
                self.tell_reachability();
            }
            Fault::PoorNetwork => self.set_poor_network(false),
            Fault::StoreDown
            | Fault::StoreSlow(_)
            | Fault::StoreAnswersLost
            | Fault::StoreStaleReads => self.platform.mode = StoreMode::Healthy,
            _ => {}
        }
    }

    fn set_poor_network(&mut self, is_poor: bool) {
        self.network_is_poor = is_poor;
        self.network.set_conditions(if is_poor {
            poor_conditions()
        } else {
            NetworkConditions::default()
        });
    }

    fn crash_node(&mut self, node: usize, away: Duration) {
        if self.nodes[node].running.is_none() {
            return;
        }
        self.end_process(node);
        self.schedule(away, ClusterEvent::NodeStarts { node });
    }

    /// Ends a process; its connections to callers and back ends close.
    pub(super) fn end_process(&mut self, node: usize) {
        let Some(ended) = self.nodes[node].running.take() else {
            return;
        };
        self.observe(Observation::NodeGone {
            node: ClusterLayout::node_name(node),
        });
        for (attempt, progress) in ended.attempts {
            let back_end = progress.back_end;
            let path = self
                .network
                .stream(Endpoint::Node(node), Endpoint::BackEnd(back_end));
            if let Some(delay) = path {
                self.schedule(delay, ClusterEvent::ConnectionClosed { back_end, attempt });
            }
        }
        for submission in ended.submissions.into_keys() {
            self.counters.lost_with_node += 1;
            self.caller_was_refused(submission);
        }
        self.release_held(node);
    }

    fn stop_node(&mut self, node: usize) {
        let process = ProcessId {
            node,
            start: self.nodes[node].start,
        };
        if self.has_mutation(Mutation::StopCutsStreams) {
            self.cut_streams(process);
        }
        let Some(running) = self.running(process) else {
            return;
        };
        if running.stopping {
            return;
        }
        running.stopping = true;
        self.control(process, ControlEvent::StopRequested);
        self.stop_when_idle(process);
    }

    /// The mistake of a process that ends its streams when it is asked to stop.
    fn cut_streams(&mut self, process: ProcessId) {
        let Some(running) = self.running(process) else {
            return;
        };
        let cut: Vec<u64> = running.submissions.keys().copied().collect();
        for submission in cut {
            self.observe(Observation::Refused {
                submission,
                run_state: crate::oracle::ReportedRunState::Ran,
                by_planned_stop: true,
            });
        }
    }

    fn pause_node(&mut self, node: usize, pause: Duration) {
        if self.nodes[node].running.is_none() {
            return;
        }
        let until_us = self.now_us + pause.as_micros() as u64;
        let paused_until_us = &mut self.nodes[node].paused_until_us;
        *paused_until_us = Some(paused_until_us.unwrap_or_default().max(until_us));
        self.observe(Observation::NodeUnreachable {
            node: ClusterLayout::node_name(node),
        });
        self.schedule(pause, ClusterEvent::NodeResumes { node });
    }

    /// Lets a paused process go on, unless a later pause still holds it.
    pub(super) fn resume_node(&mut self, node: usize) {
        let is_over = |until_us| until_us <= self.now_us;
        if self.nodes[node].paused_until_us.is_some_and(is_over) {
            self.release_held(node);
            self.tell_reachability();
        }
    }

    /// Ends a pause and hands over what arrived in it.
    fn release_held(&mut self, node: usize) {
        self.nodes[node].paused_until_us = None;
        for event in std::mem::take(&mut self.nodes[node].held) {
            self.take(event);
        }
    }

    /// Tells the oracle who can learn now.
    pub(super) fn tell_reachability(&mut self) {
        for node in 0..self.nodes.len() {
            let paused = self.nodes[node].paused_until_us.is_some();
            let ready = self.nodes[node]
                .running
                .as_ref()
                .is_some_and(|running| running.ready);
            if !ready {
                continue;
            }
            let name = ClusterLayout::node_name(node);
            let observation = if paused || self.network.touches(Endpoint::Node(node)) {
                Observation::NodeUnreachable { node: name }
            } else {
                Observation::NodeReachable { node: name }
            };
            self.observe(observation);
        }
    }

    fn race_operators(&mut self) {
        let resource = Resource::Tenant(self.layout.tenant(0, self.random.random_range(1..9)));
        let first = self.random.random_range(0..self.settings.nodes);
        let second = (first + 1) % self.settings.nodes;
        self.send_change(first, vec![put(resource)]);
        let resource = Resource::Tenant(self.layout.tenant(0, self.random.random_range(1..9)));
        self.send_change(second, vec![put(resource)]);
    }

    /// New weights: the configuration asks for them, and whoever directs engines orders them.
    fn roll_out(&mut self) {
        self.wanted_weights += 1;
        let node = self.random.random_range(0..self.settings.nodes);
        let pool = Resource::Pool(ClusterLayout::model_pool(self.wanted_weights));
        self.send_change(node, vec![put(pool)]);
    }

    /// Back ends that operators drain are stopped for good measure once their work is over.
    pub(super) fn planned_stop_due(&mut self, back_end: usize) {
        self.back_ends[back_end].draining = true;
        self.stop_back_end_when_idle(back_end);
    }

    /// A drained back end counts as leaving from now on; its planned stop follows.
    pub(super) fn leave(&mut self, back_end: usize) {
        let name = self.layout.back_end_name(back_end);
        self.observe(Observation::LeavingStarted { back_end: name });
        self.schedule(DRAIN_BEFORE_STOP, ClusterEvent::PlannedStopDue { back_end });
    }
}

fn poor_conditions() -> NetworkConditions {
    NetworkConditions {
        datagram_loss: 0.25,
        datagram_duplication: 0.1,
        jitter: Duration::from_millis(40),
        ..NetworkConditions::default()
    }
}
