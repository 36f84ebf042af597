//! Permits of engines that withstand few refusals: what this node holds and asks for; see docs/design/permits.md.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_core::permit::Number;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::permit_issuing::IssuerNode;
use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::engines::Engine;
use crate::peers::Datagram;
use crate::permits::{Answer, Ask, Outcome, Permit, Report, Return};
use crate::placement::Placement;

/// Requests to an engine need no permit for this time after its notice. Meanwhile nodes hear of the notice, and report
/// the requests that they have at the engine.
pub(super) const ANNOUNCEMENT: Duration = Duration::from_millis(400);
/// An engine that refused a request within this time before has no room for more than that.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Time within which an issuer answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of further nodes that a request for a permit is passed on to.
const MAX_REDIRECTS: usize = 1;

/// Why a permit was not issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Denial {
    /// Estimated time until one could be; `None` when the issuer has not answered.
    pub(crate) wait: Option<Duration>,
}

/// A request for a permit. When it is given up, the permit is returned, as it may have been issued meanwhile.
struct Pending {
    gateway: Rc<Gateway>,
    engine: BackEndName,
    incarnation: Option<Incarnation>,
    number: Number,
    /// Whether the issuer's answer has been received, so that there is nothing to return.
    is_answered: bool,
}

impl Pending {
    fn new(gateway: &Rc<Gateway>, ask: &Ask) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            engine: ask.engine.clone(),
            incarnation: ask.incarnation,
            number: ask.number,
            is_answered: false,
        }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.is_answered {
            self.gateway.returns.push(Return {
                engine: self.engine.clone(),
                incarnation: self.incarnation,
                number: self.number,
                outcome: Outcome::Ended,
            });
        }
    }
}

impl Gateway {
    /// Whether a request to the engine of `placement` needs a permit.
    pub(crate) fn needs_permit(&self, placement: &Placement) -> bool {
        let now = self.clock().now();
        let state = self.state();
        let engine = state.engines.get(&placement.engine);
        engine.is_some_and(|engine| self.is_permit_required(&state, engine, now))
    }

    fn is_permit_required(&self, state: &GatewayState, engine: &Engine, now: Timestamp) -> bool {
        let Some(since) = state.permits.fragile_since(&engine.entry.pool) else {
            return false;
        };
        let is_announced = now.since(since) >= ANNOUNCEMENT;
        let is_full = engine.has_refused_within(FULL_TIME, now);
        (is_announced || is_full || self.is_late(since)) && self.is_fragile(state, engine)
    }

    /// Whether this node, which has just started, may be late to learn what the others have known for long.
    fn is_late(&self, since: Timestamp) -> bool {
        since.since(self.clock().start_time()) < PEER_DISCOVERY_TIME
    }

    /// Whether an engine is fragile, or unknown while others of its pool are.
    fn is_fragile(&self, state: &GatewayState, engine: &Engine) -> bool {
        let since = state.permits.fragile_since(&engine.entry.pool);
        let is_new = since.is_some_and(|since| engine.listed_at > since || self.is_late(since));
        engine.condition.fragility().is_some() || is_new && !engine.has_answered()
    }

    /// Whether a request had better wait for the first answer of the engine of `placement` to this node. If all nodes have
    /// been started at once, none knows that the engine is fragile.
    pub(crate) fn awaits_first_answer(&self, placement: &Placement) -> bool {
        if self.uptime() >= PEER_DISCOVERY_TIME {
            return false;
        }
        let state = self.state();
        let engine = state.engines.get(&placement.engine);
        let is_unknown = engine
            .is_some_and(|engine| !engine.has_answered() && engine.own_load.borrow().requests > 0);
        is_unknown && !self.hears_older_node(&state)
    }

    /// Counts a request that needs no permit, so that it is known if the engine turns fragile.
    pub(crate) fn hold_without_asking(&self, placement: &Placement) -> Permit {
        let number = self.state_mut().permits.next_number();
        self.hold(&placement.engine, placement.incarnation, number)
    }

    /// Asks for a permit for the engine of `placement`, and waits for it for at most `wait`.
    pub(crate) async fn acquire_permit(
        self: &Rc<Self>,
        placement: &Placement,
        wait: Duration,
    ) -> Result<Permit, Denial> {
        let asked = self.ask_for_permit(placement, wait).await;
        let answer = match &asked {
            Ok(_) => "granted",
            Err(Denial { wait: Some(_) }) => "denied",
            Err(Denial { wait: None }) => "none",
        };
        self.metrics().permits.with_label_values(&[answer]).inc();
        asked
    }

    async fn ask_for_permit(
        self: &Rc<Self>,
        placement: &Placement,
        wait: Duration,
    ) -> Result<Permit, Denial> {
        let ask = Ask {
            engine: placement.engine.clone(),
            incarnation: placement.incarnation,
            number: self.state_mut().permits.next_number(),
            wait_ms: wait.as_millis() as u64,
        };
        let mut pending = Pending::new(self, &ask);
        let mut issuer = self.issuer_of(&ask.engine);
        for _ in 0..=MAX_REDIRECTS {
            let Some(answer) = self.ask_issuer(issuer, &ask, wait).await else {
                break;
            };
            let elsewhere = answer.issuer.map(IssuerNode::Peer);
            if elsewhere.is_some() && elsewhere != issuer {
                issuer = elsewhere;
                continue;
            }
            pending.is_answered = true;
            if answer.is_granted {
                return Ok(self.hold(&ask.engine, ask.incarnation, ask.number));
            }
            let wait = answer.wait_ms.map(Duration::from_millis);
            return Err(Denial { wait });
        }
        Err(Denial { wait: None })
    }

    /// Asks an issuer for a permit; `None` when it does not answer in time.
    async fn ask_issuer(
        &self,
        issuer: Option<IssuerNode>,
        ask: &Ask,
        wait: Duration,
    ) -> Option<Answer> {
        let (sender, receiver) = oneshot::channel();
        let limit = {
            let now = self.clock().now();
            let table = &mut self.state_mut().permits;
            table.pending.insert(ask.number, sender);
            match issuer? {
                IssuerNode::Own => wait,
                IssuerNode::Peer(address) if !table.is_silent(address, now) => {
                    wait + ANSWER_TIMEOUT
                }
                IssuerNode::Peer(_) | IssuerNode::Unknown => return None,
            }
        };
        match issuer {
            Some(IssuerNode::Peer(address)) => {
                self.send_datagram(&Datagram::PermitAsk(ask.clone()), &[address]);
            }
            _ => self.answer_own_ask(ask),
        }
        let answer = timeout(limit, receiver).await.ok().and_then(Result::ok);
        // A request that waits in the issuer's queue gets no answer until it is its turn.
        if answer.is_none()
            && wait.is_zero()
            && let Some(IssuerNode::Peer(address)) = issuer
        {
            let now = self.clock().now();
            self.state_mut().permits.note_silent(address, now);
        }
        answer
    }

    fn hold(
        &self,
        engine: &BackEndName,
        incarnation: Option<Incarnation>,
        number: Number,
    ) -> Permit {
        self.settle_permits();
        let mut state = self.state_mut();
        state.permits.pending.remove(&number);
        let held = state.permits.held.entry(engine.clone()).or_default();
        held.add(number, incarnation);
        Permit::new(
            Rc::clone(&self.returns),
            engine.clone(),
            incarnation,
            number,
        )
    }

    /// Accounts for permits that have been returned, and issues permits to those that wait for them.
    pub fn settle_permits(&self) {
        let now = self.clock().now();
        let mut reports: BTreeMap<BackEndName, Report> = BTreeMap::new();
        for returned in self.returns.take() {
            let mut state = self.state_mut();
            let table = &mut state.permits;
            table.pending.remove(&returned.number);
            let held = table.held.get_mut(&returned.engine);
            let is_abandoned = returned.outcome == Outcome::Abandoned;
            match held {
                Some(held) if is_abandoned => held.abandon(returned.number, now),
                Some(held) => {
                    held.remove(returned.number);
                }
                None => {}
            }
            if is_abandoned {
                continue;
            }
            let report = reports
                .entry(returned.engine.clone())
                .or_insert_with(|| empty_report(&returned.engine, returned.incarnation));
            report.returned.push(returned.number);
            report.refused += u32::from(returned.outcome == Outcome::Refused);
        }
        for report in reports.into_values() {
            self.send_permit_report(report);
        }
        let fragile = std::mem::take(&mut self.state_mut().permits.newly_fragile);
        for engine in fragile {
            self.note_fragile_engine(&engine);
        }
    }

    /// Resolves once permits have been returned.
    pub async fn permits_returned(&self) {
        self.returns.added().await;
    }

    /// Keeps the permits that this node issues up to date: it may no longer be the issuer, and permits lapse.
    pub fn refresh_permits(&self) {
        self.settle_permits();
        let now = self.clock().now();
        let mut state = self.state_mut();
        state.permits.expire(now);
        let mut abandoned = Vec::new();
        for (engine, held) in &mut state.permits.held {
            let numbers = held.take_abandoned(now);
            if !numbers.is_empty() {
                abandoned.push((engine.clone(), numbers));
            }
        }
        state.permits.held.retain(|_, held| !held.is_empty());
        let issued: Vec<_> = state.permits.issued.keys().cloned().collect();
        drop(state);
        for (engine, returned) in abandoned {
            let incarnation = self.incarnation_of(&engine);
            self.send_permit_report(Report {
                returned,
                ..empty_report(&engine, incarnation)
            });
        }
        for engine in issued {
            self.confirm_issuer(&engine, now);
            self.advance_issuer(&engine);
        }
    }

    /// Reports the permits that this node holds to their issuers, and drops notices that must have ended.
    pub fn report_permits(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        for pool in state.permits.fragile_pools() {
            let fragile: Vec<_> = state
                .engines
                .of_pool(&pool)
                .filter(|engine| engine.condition.fragility().is_some())
                .map(|engine| engine.entry.name.clone())
                .collect();
            for name in &fragile {
                if let Some(engine) = state.engines.get_mut(name) {
                    engine.condition.expire_fragility(now);
                }
            }
            if !fragile.is_empty() {
                state.permits.note_fragile(&pool, now, now);
            }
        }
        let held: Vec<_> = state.permits.held.keys().cloned().collect();
        drop(state);
        for engine in held {
            let incarnation = self.incarnation_of(&engine);
            self.send_permit_report(empty_report(&engine, incarnation));
        }
    }

    /// Starts to issue the permits of an engine that has turned fragile, if that falls to this node, and reports what
    /// this node has there.
    pub(super) fn note_fragile_engine(&self, engine: &BackEndName) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let known = state.engines.get(engine);
        let Some(pool) = known.map(|engine| engine.entry.pool.clone()) else {
            return;
        };
        let fragility = known.and_then(|engine| engine.condition.fragility());
        let since = fragility.map_or(now, |fragility| fragility.since);
        state.permits.note_fragile(&pool, since, now);
        drop(state);
        if self.issuer_of(engine) == Some(IssuerNode::Own) {
            self.confirm_issuer(engine, now);
        }
        self.send_permit_report(empty_report(engine, self.incarnation_of(engine)));
    }

    /// Applies the answer to a request for a permit.
    pub fn apply_permit_answer(&self, answer: &Answer) {
        let waiting = self.state_mut().permits.pending.remove(&answer.number);
        // The reports of this node show its issuer that nobody holds a permit that came too late.
        if let Some(waiting) = waiting {
            let _ = waiting.send(answer.clone());
        }
    }

    /// Sends a report, with all permits of the engine that this node holds, to the issuer.
    fn send_permit_report(&self, mut report: Report) {
        let now = self.clock().now();
        let state = self.state();
        let engine = state.engines.get(&report.engine);
        if !engine.is_some_and(|engine| self.is_fragile(&state, engine)) {
            return;
        }
        let held = state.permits.held.get(&report.engine);
        report.held = held.map(|held| held.numbers()).unwrap_or_default();
        drop(state);
        if report.refused > 0
            && let Some(left_out) = self.full_sampler().admit(now)
        {
            info!(self.log(), "fragile_engine_refused"; "engine" => %report.engine,
                "refused" => report.refused, "held" => report.held.len(), "left_out" => left_out);
        }
        match self.issuer_of(&report.engine) {
            Some(IssuerNode::Own) => {
                self.apply_permit_report(&report, self.settings().identity.peer_address);
            }
            Some(IssuerNode::Peer(address)) => {
                self.send_datagram(&Datagram::PermitReport(report), &[address]);
            }
            Some(IssuerNode::Unknown) | None => {}
        }
    }
}

fn empty_report(engine: &BackEndName, incarnation: Option<Incarnation>) -> Report {
    Report {
        engine: engine.clone(),
        incarnation,
        held: Vec::new(),
        returned: Vec::new(),
        refused: 0,
    }
}
