//! Issues the permits of engines that withstand few refusals; see docs/design/permits.md.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_core::permit::{self, Issuer, Number};
use ryerouter_core::placement::rendezvous_score;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::permits::ANNOUNCEMENT;
use super::{Gateway, GatewayState};
use crate::engines::{Engine, IncarnationOrder};
use crate::peers::{Datagram, NodeState};
use crate::permits::{Answer, Ask, Issued, Report};

/// A new issuer waits for the reports of all nodes for this time.
const WARM_UP: Duration = Duration::from_millis(700);
/// An issuer that has not looked for this time, for instance because it was suspended, is a new one.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(1);

/// The node that issues the permits of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IssuerNode {
    Own,
    Peer(SocketAddr),
    /// This node would be the one, but hears too few of the others to be the only one.
    Unknown,
}

impl Gateway {
    /// Answers another node's request for a permit.
    pub fn answer_permit_ask(&self, ask: &Ask, from: SocketAddr) {
        self.settle_permits();
        let issuer = self.issuer_of(&ask.engine);
        let answer = match issuer {
            Some(IssuerNode::Own) => self.issue(ask, from),
            _ => Some(denied(ask.number, None)),
        };
        let elsewhere = match issuer {
            Some(IssuerNode::Peer(address)) if address != from => Some(address),
            _ => None,
        };
        if let Some(answer) = answer {
            let answer = Answer {
                issuer: elsewhere,
                ..answer
            };
            self.send_datagram(&Datagram::PermitAnswer(answer), &[from]);
        }
    }

    pub(super) fn answer_own_ask(&self, ask: &Ask) {
        self.settle_permits();
        if let Some(answer) = self.issue(ask, self.settings().identity.peer_address) {
            self.apply_permit_answer(&answer);
        }
    }

    /// Decides on a request for a permit; `None` when it has to wait.
    fn issue(&self, ask: &Ask, holder: SocketAddr) -> Option<Answer> {
        let now = self.clock().now();
        if !self.confirm_issuer(&ask.engine, now) {
            return Some(denied(ask.number, None));
        }
        let mut state = self.state_mut();
        let issued = state.permits.issued.get_mut(&ask.engine)?;
        let is_same =
            IncarnationOrder::new(issued.incarnation, ask.incarnation) == IncarnationOrder::Same;
        if !is_same {
            return Some(denied(ask.number, None));
        }
        let asked = permit::Ask {
            holder,
            number: ask.number,
            until: now.after(Duration::from_millis(ask.wait_ms)),
        };
        match issued.issuer.ask(asked, now) {
            permit::Answer::Granted => Some(granted(ask.number)),
            permit::Answer::Queued => None,
            permit::Answer::Denied { wait } => Some(denied(ask.number, Some(wait))),
        }
    }

    /// Applies another node's report of the permits that it holds.
    pub fn apply_permit_report(&self, report: &Report, from: SocketAddr) {
        let now = self.clock().now();
        if !self.confirm_issuer(&report.engine, now) {
            return;
        }
        let mut state = self.state_mut();
        let max_refusals = max_refusals_of(&state, &report.engine);
        let Some(issued) = state.permits.issued.get_mut(&report.engine) else {
            return;
        };
        if IncarnationOrder::new(issued.incarnation, report.incarnation) == IncarnationOrder::Same {
            for number in &report.returned {
                issued.issuer.withdraw(&from, *number);
            }
            issued
                .issuer
                .report(from, &report.permits(), max_refusals, now);
        }
        drop(state);
        self.advance_issuer(&report.engine);
    }

    /// Issues permits of an engine to those that wait for them.
    pub(super) fn advance_issuer(&self, engine: &BackEndName) {
        let now = self.clock().now();
        let own = self.settings().identity.peer_address;
        let mut state = self.state_mut();
        let issued = state.permits.issued.get_mut(engine);
        let holders = issued.map(|issued| issued.issuer.advance(now));
        drop(state);
        for (holder, number) in holders.unwrap_or_default() {
            let answer = granted(number);
            match holder == own {
                true => self.apply_permit_answer(&answer),
                false => self.send_datagram(&Datagram::PermitAnswer(answer), &[holder]),
            }
        }
    }

    /// Checks that this node issues the permits of an engine, and starts or stops to do so; `false` when it does not.
    pub(super) fn confirm_issuer(&self, name: &BackEndName, now: Timestamp) -> bool {
        let is_issuer = self.issuer_of(name) == Some(IssuerNode::Own);
        let uptime = self.uptime();
        let mut state = self.state_mut();
        let engine = state.engines.get(name).filter(|_| is_issuer);
        let Some(engine) = engine else {
            state.permits.issued.remove(name);
            return false;
        };
        let (slots, incarnation) = (engine.entry.slots, engine.entry.incarnation);
        let opens_at = opening(engine, uptime, now);
        let issued = state.permits.issued.get_mut(name);
        if let Some(issued) = issued.filter(|issued| issued.incarnation == incarnation) {
            if now.since(issued.confirmed_at) >= MAX_UNCONFIRMED {
                issued.issuer.close_until(now.after(WARM_UP));
            }
            issued.confirmed_at = now;
            issued.issuer.set_slots(slots);
            return true;
        }
        let issued = Issued {
            incarnation,
            issuer: Issuer::new(slots, opens_at),
            confirmed_at: now,
        };
        state.permits.issued.insert(name.clone(), issued);
        drop(state);
        if let Some(left_out) = self.signal_sampler().admit(now) {
            info!(self.log(), "permits_issued"; "engine" => %name, "slots" => slots,
                "opens_in_ms" => opens_at.since(now).as_millis() as u64, "left_out" => left_out);
        }
        true
    }

    /// The node that issues the permits of an engine: the first, in rendezvous order, of those that this node hears. The
    /// nodes of the engine's zone come before all others.
    pub(super) fn issuer_of(&self, name: &BackEndName) -> Option<IssuerNode> {
        let now = self.clock().now();
        let state = self.state();
        let zone = &state.engines.get(name)?.entry.zone;
        let own = &self.settings().identity;
        let recent = state.peers.recently_heard(now);
        let stays = recent.filter(|peer| peer.state != NodeState::Leaving);
        let others: Vec<_> = stays
            .filter(|peer| peer.identity.name != own.name)
            .collect();
        let is_own_near = own.zone == *zone;
        let has_near = is_own_near || others.iter().any(|peer| peer.identity.zone == *zone);
        let others = others
            .into_iter()
            .filter(|peer| !has_near || peer.identity.zone == *zone);
        let engine = xxh3_64(name.as_str().as_bytes());
        let rank = |node: &NodeName| {
            let score = rendezvous_score(xxh3_64(node.as_str().as_bytes()), engine);
            (score, node.clone())
        };
        let known: Vec<_> = others
            .map(|peer| {
                let is_present = state.peers.is_present(peer, now);
                (
                    rank(&peer.identity.name),
                    is_present,
                    peer.identity.peer_address,
                )
            })
            .collect();
        let is_candidate = (is_own_near || !has_near) && state.node_state != NodeState::Leaving;
        let own_rank = is_candidate.then(|| rank(&own.name));
        let best_present = known.iter().filter(|(_, is_present, _)| *is_present).max();
        let best_known = known.iter().max();
        let Some(own_rank) = own_rank else {
            let best = best_present.or(best_known)?;
            return Some(IssuerNode::Peer(best.2));
        };
        if let Some(best) = best_present.filter(|(rank, _, _)| *rank > own_rank) {
            return Some(IssuerNode::Peer(best.2));
        }
        let present = known
            .iter()
            .filter(|(_, is_present, _)| *is_present)
            .count()
            + 1;
        let all = known.len() + 1;
        let is_first_of_all = best_known.is_none_or(|(rank, _, _)| *rank < own_rank);
        let is_only_one = present * 2 > all || present * 2 == all && is_first_of_all;
        Some(match is_only_one {
            true => IssuerNode::Own,
            false => IssuerNode::Unknown,
        })
    }
}

/// From when on a new issuer issues permits. Nobody has any of an engine that was just listed.
fn opening(engine: &Engine, uptime: Duration, now: Timestamp) -> Timestamp {
    let is_new = now.since(engine.listed_at) < WARM_UP && uptime > WARM_UP * 2;
    let announced_until = engine
        .condition
        .fragility()
        .map(|fragility| fragility.since.after(ANNOUNCEMENT));
    match announced_until {
        _ if is_new => now,
        Some(until) if until > now => until,
        _ => now.after(WARM_UP),
    }
}

/// Refusals a second that an engine withstands; none while it is not known.
fn max_refusals_of(state: &GatewayState, engine: &BackEndName) -> u32 {
    let engine = state.engines.get(engine);
    let fragility = engine.and_then(|engine| engine.condition.fragility());
    fragility.map_or(0, |fragility| fragility.max_refusals)
}

fn granted(number: Number) -> Answer {
    Answer {
        number,
        is_granted: true,
        wait_ms: None,
        issuer: None,
    }
}

fn denied(number: Number, wait: Option<Duration>) -> Answer {
    Answer {
        number,
        is_granted: false,
        wait_ms: wait.map(|wait| wait.as_millis() as u64),
        issuer: None,
    }
}
