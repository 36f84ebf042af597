//! Load reports of engines and orders to them, in the simulation.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::control::{ControlEvent, StoreValue};
use ryerouter_core::identity::{BackEndName, FencingNumber, Incarnation, WeightsVersion};
use ryerouter_core::order::{EngineOrder, EngineReport, EngineRole, FencedOrder, OrderAnswer};

use super::cluster::node_endpoint;
use super::{Cluster, ClusterEvent, ClusterLayout, Endpoint, Mutation, ProcessId};
use crate::oracle::Observation;

/// Time after which a call to an engine counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time an engine needs to load weights.
const WEIGHT_LOAD: Duration = Duration::from_millis(600);
/// How long a poor network may hold an order back.
const MOST_STALL_MS: u64 = 45_000;
/// Key of the lease whose holder directs engines.
const DIRECTOR_LEASE: &str = "lease/director";

impl Cluster {
    /// Carries a question for a load report to an engine and back.
    pub(super) fn poll_engine(&mut self, process: ProcessId, address: SocketAddr) {
        let Some(back_end) = ClusterLayout::back_end_at(address) else {
            return;
        };
        let report = self.back_ends[back_end]
            .alive
            .then(|| self.engine_report(back_end));
        let reached = report.filter(|_| !self.back_ends[back_end].frozen);
        let delay = self
            .round_trip(process, back_end)
            .filter(|_| reached.is_some());
        let event = ClusterEvent::EngineReported {
            process,
            back_end,
            report: delay.and(reached),
        };
        self.schedule(delay.unwrap_or(CALL_TIMEOUT), event);
    }

    fn engine_report(&self, back_end: usize) -> EngineReport {
        let engine = &self.back_ends[back_end];
        EngineReport {
            incarnation: Incarnation(engine.incarnation),
            weights_version: WeightsVersion(engine.weights_version),
            draining: engine.draining,
        }
    }

    pub(super) fn engine_reported(
        &mut self,
        process: ProcessId,
        back_end: usize,
        report: Option<EngineReport>,
    ) {
        let back_end = self.name_of(back_end);
        self.control(process, ControlEvent::EngineReported { back_end, report });
    }

    /// Sends an order to an engine, unless its lease has ended meanwhile.
    pub(super) fn order_engine(
        &mut self,
        process: ProcessId,
        address: SocketAddr,
        order: FencedOrder,
        valid_until: Timestamp,
    ) {
        let Some(back_end) = ClusterLayout::back_end_at(address) else {
            return;
        };
        let sent = self.clock_of(process.node) < valid_until;
        let path = self
            .network
            .stream(node_endpoint(process), Endpoint::BackEnd(back_end));
        if let Some(delay) = path.filter(|_| sent) {
            let stall = self.draw_stall();
            let event = ClusterEvent::OrderArrives {
                process,
                back_end,
                order,
            };
            self.schedule(delay + stall, event);
        }
        let lost = ClusterEvent::OrderAnswered {
            process,
            back_end,
            answer: OrderAnswer::Lost,
        };
        self.schedule(CALL_TIMEOUT, lost);
    }

    /// A poor network may hold a connection's bytes back for long.
    fn draw_stall(&mut self) -> Duration {
        if !self.network_is_poor || self.random.random_bool(0.5) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.random.random_range(0..MOST_STALL_MS))
    }

    pub(super) fn order_arrives(
        &mut self,
        process: ProcessId,
        back_end: usize,
        order: &FencedOrder,
    ) {
        let engine = &self.back_ends[back_end];
        if !engine.alive {
            return;
        }
        let newest = FencingNumber(engine.fencing_number);
        let is_old = order.fencing_number < newest;
        let answer = if is_old && !self.has_mutation(Mutation::FencingIgnored) {
            OrderAnswer::Superseded { newest }
        } else {
            self.obey(back_end, order);
            OrderAnswer::Accepted
        };
        let back = self
            .network
            .stream(Endpoint::BackEnd(back_end), node_endpoint(process));
        if let Some(delay) = back {
            let event = ClusterEvent::OrderAnswered {
                process,
                back_end,
                answer,
            };
            self.schedule(delay, event);
        }
    }

    fn obey(&mut self, back_end: usize, order: &FencedOrder) {
        let engine = &mut self.back_ends[back_end];
        engine.fencing_number = engine.fencing_number.max(order.fencing_number.0);
        let incarnation = engine.incarnation;
        let observation = Observation::OrderObeyed {
            back_end: engine.name.clone(),
            incarnation,
            fencing_number: order.fencing_number.0,
        };
        self.observe(observation);
        match &order.order {
            EngineOrder::LoadWeights { weights_version } => {
                let event = ClusterEvent::WeightsLoaded {
                    back_end,
                    incarnation,
                    weights_version: weights_version.0,
                };
                self.schedule(WEIGHT_LOAD, event);
            }
            EngineOrder::LoadAdapter { .. } => {}
            EngineOrder::SetRole { role } => {
                self.back_ends[back_end].draining = *role != EngineRole::Serving;
            }
        }
    }

    pub(super) fn order_answered(
        &mut self,
        process: ProcessId,
        back_end: usize,
        answer: OrderAnswer,
    ) {
        let back_end = self.name_of(back_end);
        self.control(process, ControlEvent::OrderAnswered { back_end, answer });
    }

    pub(super) fn weights_loaded(
        &mut self,
        back_end: usize,
        incarnation: u64,
        weights_version: u64,
    ) {
        let keeps_cache = self.has_mutation(Mutation::CacheUnsalted);
        let engine = &mut self.back_ends[back_end];
        if engine.alive && engine.incarnation == incarnation {
            engine.load_weights(weights_version, keeps_cache);
        }
    }

    /// The node that holds the lease to direct engines, as the object API shows it.
    pub(super) fn directing_node(&self) -> Option<usize> {
        let value = self.platform.value(DIRECTOR_LEASE)?;
        let StoreValue::Lease(record) = value else {
            return None;
        };
        let holder = record.holder?;
        (0..self.settings.nodes).find(|node| ClusterLayout::node_name(*node) == holder.as_str())
    }

    fn round_trip(&mut self, process: ProcessId, back_end: usize) -> Option<Duration> {
        let there = self
            .network
            .stream(node_endpoint(process), Endpoint::BackEnd(back_end))?;
        let back = self
            .network
            .stream(Endpoint::BackEnd(back_end), node_endpoint(process))?;
        Some(there + back)
    }

    fn name_of(&self, back_end: usize) -> BackEndName {
        BackEndName::new(self.layout.back_end_name(back_end))
    }
}
