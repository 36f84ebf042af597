//! When a node that has started serves, and what it waits for until then.

use slog::info;

use super::{Gateway, GatewayState, Need, PEER_DISCOVERY_TIME, SIZE_DISCOVERY_TIME, UnmetNeed};
use crate::peers::NodeState;
use crate::source::ItemKind;

impl Gateway {
    /// Lets a node that has started serve once it knows all that it needs. What it lacks may also come
    /// from other nodes, or is given up after some time.
    pub(crate) fn update_readiness(&self) {
        let mut state = self.state_mut();
        if state.node_state != NodeState::Starting {
            return;
        }
        match self.first_need(&state) {
            Some(need) => self.report_need(&mut state, need),
            None => self.begin_to_serve(&mut state),
        }
    }

    /// The first of the things that this node lacks before it serves.
    fn first_need(&self, state: &GatewayState) -> Option<Need> {
        if state.table.is_none() {
            return Some(Need::Configuration);
        }
        if self.lacks_peers(state) {
            return Some(Need::Peers);
        }
        if self.has_newer_offer(state, self.clock().now()) && self.uptime() < PEER_DISCOVERY_TIME {
            return Some(Need::NewerConfiguration);
        }
        self.needed_engines(state)
            .or_else(|| self.needs_newer_list(state).then_some(Need::NewerList))
    }

    /// Whether this node has heard none of the nodes that it was told of. Where the source may come back from a copy, only
    /// they know what that lacks.
    fn lacks_peers(&self, state: &GatewayState) -> bool {
        let has_eras = state.source_era > 0;
        let is_unheard = state.peers.last_heard_at().is_none();
        let knows_others = !state.peers.unanswered_addresses().is_empty();
        has_eras && is_unheard && knows_others && self.uptime() < SIZE_DISCOVERY_TIME
    }

    /// A list that arrived late is first updated from a node with a newer one, if that node
    /// answers. Without this, a node that starts while the source answers 3 s late sends
    /// requests to engines that left 5 s before. Nodes that start together have read the list at the
    /// same time, so none of them is waited for.
    fn needs_newer_list(&self, state: &GatewayState) -> bool {
        let now = self.clock().now();
        let list = state.replicas.of(ItemKind::Engines);
        let is_catching_up =
            list.is_behind() && !list.is_behind_for(self.settings().propagation_limit, now);
        is_catching_up && self.hears_older_node(state)
    }

    /// Whether this node hears one that serves and has been started well before.
    pub(super) fn hears_older_node(&self, state: &GatewayState) -> bool {
        let (now, own_start) = (self.clock().now(), self.clock().start_time());
        let mut ready = state.peers.ready(now);
        ready.any(|peer| own_start.since(peer.started_at) >= PEER_DISCOVERY_TIME)
    }

    fn begin_to_serve(&self, state: &mut GatewayState) {
        let now = self.clock().now();
        state.node_state = NodeState::Ready;
        let met = state.unmet_need.take();
        self.metrics().not_ready_ms.reset();
        info!(self.log(), "ready"; "engines" => state.engines.count(),
            "whole_list" => state.has_engine_list,
            "waited_for" => met.as_ref().map(|met| met.need().to_string()),
            "waited_ms" => met.as_ref().map(|met| met.lasted(now).as_millis() as u64),
            "uptime_ms" => self.uptime().as_millis() as u64);
        self.send_requested.notify_one();
    }

    /// Logs and measures what keeps this node from serving, at the beginning and while it lasts.
    fn report_need(&self, state: &mut GatewayState, need: Need) {
        let now = self.clock().now();
        let known = state.unmet_need.take();
        let known = known.filter(|unmet| *unmet.need() == need);
        let mut unmet = known.unwrap_or_else(|| UnmetNeed::new(need, now));
        if unmet.take_log_turn(now) {
            let gauge = &self.metrics().not_ready_ms;
            gauge.reset();
            let gauge = gauge.with_label_values(&[&unmet.need().to_string()]);
            gauge.set(unmet.lasted(now).as_millis() as i64);
            self.log_need(state, &unmet);
        }
        state.unmet_need = Some(unmet);
    }

    fn log_need(&self, state: &GatewayState, unmet: &UnmetNeed) {
        let now = self.clock().now();
        let pool = match unmet.need() {
            Need::Pool(pool) => Some(pool.as_str()),
            Need::Configuration
            | Need::FirstEngines
            | Need::NewerList
            | Need::Peers
            | Need::NewerConfiguration => None,
        };
        let kind = match unmet.need() {
            Need::Configuration | Need::Peers | Need::NewerConfiguration => ItemKind::Configuration,
            Need::FirstEngines | Need::Pool(_) | Need::NewerList => ItemKind::Engines,
        };
        let source_asked_at = state.replicas.of(kind).asked_at;
        let asked_node = match kind {
            ItemKind::Configuration => state.transfer.awaited(),
            ItemKind::Engines | ItemKind::Weights => state.list_fill.awaited(),
        };
        let span = |at| now.since(at).as_millis() as u64;
        info!(self.log(), "not_ready"; "needs" => %unmet.need(), "pool" => pool,
            "waited_ms" => unmet.lasted(now).as_millis() as u64,
            "source_answers" => state.is_source_reachable,
            "source_asked_ms" => source_asked_at.map(span),
            "asked_node" => asked_node.map(|(node, _)| node.to_string()),
            "node_asked_ms" => asked_node.map(|(_, at)| span(at)),
            "pages" => state.list_fill.pages(), "pieces" => state.list_fill.pieces(),
            "fruitless" => state.list_fill.fruitless(),
            "known_nodes" => state.peers.alive(now).count(),
            "ready_nodes" => state.peers.ready(now).count(),
            "uptime_ms" => self.uptime().as_millis() as u64);
    }
}
