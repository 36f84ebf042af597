//! Hands over the order lease to a node that reaches more engines; see docs/design/orders.md.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use slog::info;

use super::{Gateway, GatewayState, Handover};
use crate::peers::{
    HandoverUpdate, MAX_QUESTIONED_ENGINES, PeerMessage, ReachAnswer, ReachQuestion,
};

impl Gateway {
    /// Whether the order lease may be handed over: the last handover is long ago.
    pub fn may_hand_over(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        let last = state.handover.handover.as_ref();
        last.is_none_or(|last| last.may_be_followed(now))
    }

    /// Sets the question that this node asks as the holder of the order lease.
    pub fn set_reach_question(&self, question: Option<ReachQuestion>) {
        let mut state = self.state_mut();
        if state.handover.question == question {
            return;
        }
        if question.is_some() {
            self.request_peer_send();
        }
        state.handover.question = question;
    }

    /// Of the nodes that have answered a question, the one that reaches most of its engines, and how
    /// many.
    pub fn best_reach(&self, question: &ReachQuestion) -> Option<(NodeName, usize)> {
        let now = self.clock().now();
        let state = self.state();
        let able = state.peers.ready(now).filter(|peer| peer.reaches_store);
        let answers = able.filter_map(|peer| {
            let answer = peer.reach_answer.as_ref();
            let answer = answer.filter(|answer| answer.is_to(question))?;
            Some((&peer.identity.name, answer.reached.len()))
        });
        let rank = |name: &NodeName| question.candidates.iter().position(|other| other == name);
        let best = answers.min_by_key(|(name, reached)| (Reverse(*reached), rank(name)))?;
        Some((best.0.clone(), best.1))
    }

    /// Gives up the order lease in favour of another node, which comes first for this long.
    pub fn hand_orders_over(&self, successor: NodeName, fence: u64, succession: Duration) {
        let mut state = self.state_mut();
        state.handover.question = None;
        state.handover.handover = Some(Handover {
            former_holder: self.settings().identity.name.clone(),
            successor,
            fence,
            at: self.clock().now(),
            succession,
        });
        self.request_peer_send();
    }

    /// Whether this node still holds the order lease that it has handed over.
    pub fn is_handing_over(&self) -> bool {
        let now = self.clock().now();
        let state = self.state();
        state.gives_orders && self.own_handover(&state, now).is_some()
    }

    /// The handover by this node, while it decides which node takes the lease.
    pub(super) fn own_handover<'a>(
        &self,
        state: &'a GatewayState,
        now: Timestamp,
    ) -> Option<&'a Handover> {
        let own_name = &self.settings().identity.name;
        state.handover.valid_by(own_name, now)
    }

    /// The node that takes the order lease next because it was handed over; `None` once that is
    /// long ago or the node is not able to.
    pub(super) fn successor<'a>(
        &self,
        state: &'a GatewayState,
        now: Timestamp,
    ) -> Option<&'a NodeName> {
        let successor = &state.handover.valid(now)?.successor;
        let mut able = state.peers.ready(now).filter(|peer| peer.reaches_store);
        let is_able = *successor == self.settings().identity.name
            || able.any(|peer| peer.identity.name == *successor);
        is_able.then_some(successor)
    }

    /// Takes the question that another node has asked this one, and where to send the answer.
    pub fn take_reach_question(&self) -> Option<(ReachQuestion, SocketAddr)> {
        self.state_mut().handover.received.take()
    }

    /// Sends the answer to a question of the holder of the order lease.
    pub fn answer_reach_question(&self, answer: ReachAnswer, holder: SocketAddr) {
        let now = self.clock().now();
        self.state_mut().handover.answer = Some((answer, holder, now));
        self.request_peer_send();
    }

    /// The nodes to which the current question, answer or handover must go, however many nodes
    /// there are.
    pub(super) fn handover_receivers(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let question = state.handover.question.iter();
        let candidates = question.flat_map(|question| &question.candidates);
        let own = self.own_handover(state, now);
        let successor = own.map(|handover| &handover.successor);
        let named = candidates.chain(successor);
        let named = named.filter_map(|name| state.peers.address_of(name));
        let answer = state.handover.current_answer(now);
        named.chain(answer.map(|(_, holder)| holder)).collect()
    }

    pub(super) fn handover_update(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Option<HandoverUpdate> {
        let own = self.own_handover(state, now)?;
        Some(HandoverUpdate {
            successor: own.successor.clone(),
            fence: own.fence,
            age_ms: now.since(own.at).as_millis() as u64,
            succession_ms: own.succession.as_millis() as u64,
        })
    }

    /// Applies what another node reports of the engines that it reaches, and of its handover.
    pub(super) fn apply_handover_news(&self, state: &mut GatewayState, message: &PeerMessage) {
        if let Some(update) = &message.handover {
            self.apply_handover(state, message, update);
        }
        let question = message.reach_question.as_ref();
        let own_name = &self.settings().identity.name;
        let Some(question) = question.filter(|question| question.is_for(own_name)) else {
            return;
        };
        let number = Some((question.fence, question.round));
        if std::mem::replace(&mut state.handover.last_received, number) != number {
            let mut question = question.clone();
            question.engines.truncate(MAX_QUESTIONED_ENGINES);
            state.handover.received = Some((question, message.from.peer_address));
        }
    }

    fn apply_handover(
        &self,
        state: &mut GatewayState,
        message: &PeerMessage,
        update: &HandoverUpdate,
    ) {
        let known = state.handover.handover.as_ref();
        if known.is_some_and(|known| known.fence >= update.fence) {
            return;
        }
        let age = Duration::from_millis(update.age_ms);
        info!(self.log(), "order_handover_heard"; "from" => %message.from.name,
            "successor" => %update.successor, "fence" => update.fence);
        state.handover.handover = Some(Handover {
            former_holder: message.from.name.clone(),
            successor: update.successor.clone(),
            fence: update.fence,
            at: self.clock().now().before(age),
            succession: Duration::from_millis(update.succession_ms),
        });
    }
}
