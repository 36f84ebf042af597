//! All attempts of one request.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::Verdict;
use slog::{info, warn};
use tokio::time::sleep_until;

use super::accepted_request::AcceptedRequest;
use super::attempt::{attempt, learn};
use super::attempt_end::AttemptEnd;
use super::doubt::Doubt;
use super::held_at::HeldAt;
use super::held_request::HeldRequest;
use super::live_answer::{LiveAnswer, WholeAnswer};
use super::silence_limits::SilenceLimits;
use crate::catalogue::RequestKind;
use crate::engines::AwaitedPart;
use crate::gateway::Gateway;
use crate::placement::{Placement, PlacementRequest};
use crate::poison::Run;
use crate::request::{Refusal, RefusalReason};

/// When to come back when no engine takes work.
const NO_ENGINE_RETRY: Duration = Duration::from_millis(400);
/// When to come back when engines had no room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(250);

/// The answer of an engine as far as it must be known before the caller gets its head.
pub(super) enum FirstAnswer {
    Whole(Box<WholeAnswer>),
    Stream(Box<LiveAnswer>),
}

/// All attempts of one request.
pub(super) struct Exchange {
    pub(super) gateway: Rc<Gateway>,
    pub(super) request: AcceptedRequest,
    /// What is told if it ends unserved.
    pub(super) held: Rc<HeldRequest>,
    /// Back ends that got it, or could not be reached.
    tried: Vec<BackEndName>,
    /// How many back ends it arrived at.
    pub(super) arrivals: u32,
    pub(super) may_have_run: bool,
    /// Whether the next attempt has been taken from the budget already.
    is_retry_paid: bool,
    /// Whether it is tried while it is held back.
    is_trial: bool,
    /// The back end whose connection was given up last: on a new one it may serve.
    silent_engine: Option<BackEndName>,
    /// Whether an engine began to answer.
    has_answer: bool,
    /// When the last attempt began.
    attempted_at: Timestamp,
}

impl Exchange {
    pub(super) fn new(
        gateway: Rc<Gateway>,
        request: AcceptedRequest,
        held: Rc<HeldRequest>,
    ) -> Self {
        Self {
            held,
            gateway,
            request,
            tried: Vec::new(),
            arrivals: 0,
            may_have_run: false,
            is_retry_paid: false,
            is_trial: false,
            silent_engine: None,
            has_answer: false,
            attempted_at: Timestamp::ZERO,
        }
    }

    /// Makes attempts until there is an answer for the caller.
    pub(super) async fn first_answer(&mut self) -> Result<FirstAnswer, Refusal> {
        let last_event_id = self.request.caller.last_event_id.clone();
        loop {
            let live = self.next_answer(last_event_id.as_deref()).await?;
            let is_stream = self.request.route.kind == RequestKind::Streaming;
            if is_stream && live.status.is_success() {
                return Ok(FirstAnswer::Stream(Box::new(live)));
            }
            let placement = live.placement.clone();
            let gateway = Rc::clone(&self.gateway);
            match live.read_whole(&gateway).await {
                Ok(whole) if whole.status.is_server_error() && self.may_run_again() => {
                    let end = AttemptEnd::EngineError(whole.status.as_u16());
                    self.note_end(&placement, &end);
                }
                Ok(whole) => {
                    self.note_success(&placement);
                    if !whole.status.is_server_error() {
                        self.gateway.note_successful_run(&self.request);
                    }
                    return Ok(FirstAnswer::Whole(Box::new(whole)));
                }
                Err(detail) => {
                    let end = AttemptEnd::Broken(detail);
                    self.note_end(&placement, &end);
                    if !self.may_run_again() {
                        return Err(self.refusal_after(&end));
                    }
                }
            }
        }
    }

    /// Makes attempts until an engine begins a usable answer.
    pub(super) async fn next_answer(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<LiveAnswer, Refusal> {
        loop {
            // One that ends its engines comes again under other ids and at other nodes, where neither its attempts nor
            // the retry budget count: only what all nodes know of it keeps it from the next engine.
            let is_known = self.gateway.wait_for_poison_records(&self.request).await;
            if !is_known && self.may_have_run && self.gateway.may_be_held_back(&self.request) {
                return Err(self.ends_engines(NO_ENGINE_RETRY));
            }
            let verdict = self.verdict();
            if let Verdict::Refused { come_back_after } = verdict {
                return Err(self.ends_engines(come_back_after));
            }
            let placement = self.place(verdict).ok_or_else(|| self.no_engine())?;
            let is_paid = std::mem::take(&mut self.is_retry_paid) || self.arrivals == 0;
            if !is_paid && !self.gateway.spend_retry(&self.request.pool) {
                return Err(self.without_budget());
            }
            let is_trial = verdict == Verdict::Trial;
            if is_trial && !std::mem::replace(&mut self.is_trial, true) {
                self.gateway.begin_trial(&self.request).await;
            }
            if self.may_have_run && !self.has_answer {
                self.gateway.charge_again(&self.request);
            }
            self.held.attempt_begins();
            let left = self.request.route.most_attempts;
            self.held
                .attempts_left
                .set(left.saturating_sub(self.arrivals + 1));
            let is_first = self.tried.is_empty();
            let pool = &self.request.pool;
            self.gateway.note_sent(pool, &placement, is_first);
            self.attempted_at = self.gateway.clock().now();
            let attempted = self.watched_attempt(&placement, last_event_id).await;
            match attempted {
                Ok(live) => {
                    self.has_answer = true;
                    self.arrivals += 1;
                    self.tried.push(placement.engine);
                    return Ok(live);
                }
                Err(end) => {
                    self.tried.push(placement.engine.clone());
                    self.arrivals += u32::from(end.has_arrived());
                    self.is_retry_paid = matches!(end, AttemptEnd::Silent(_));
                    self.note_end(&placement, &end);
                    let is_last = self.arrivals >= self.request.route.most_attempts;
                    let is_over = self.may_have_run && !self.request.route.is_idempotent();
                    if is_last || is_over {
                        return Err(self.refusal_after(&end));
                    }
                }
            }
        }
    }

    /// Whether the request may be sent to an engine now. A trial that has run at none is still to be made.
    fn verdict(&self) -> Verdict {
        match self.is_trial && !self.may_have_run {
            true => Verdict::Trial,
            false => self.gateway.poison_verdict(&self.request),
        }
    }

    /// Makes an attempt. It is given up when nothing comes for longer than answers take, while the
    /// request can go elsewhere; otherwise it is waited for, since an answer may still come.
    async fn watched_attempt(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
    ) -> Result<LiveAnswer, AttemptEnd> {
        let (gateway, request) = (&self.gateway, &self.request);
        let since = gateway.clock().now();
        let attempt = attempt(gateway, request, placement, last_event_id, &self.held);
        if !request.route.is_idempotent() || self.arrivals + 1 >= request.route.most_attempts {
            return attempt.await;
        }
        let part = AwaitedPart::Head;
        let limits = SilenceLimits::new(gateway, request, &placement.engine, part, since);
        let Some(limits) = limits else {
            return attempt.await;
        };
        let attempted = tokio::select! {
            biased;
            attempted = attempt => attempted,
            why = self.until_given_up(&limits) => Err(self.give_up(placement, &limits, part, why)),
        };
        if attempted.is_ok() && self.held.is_doubted.get() {
            info!(gateway.log(), "doubted_attempt_answered"; "request" => &request.caller.id,
                "engine" => %placement.engine,
                "after_ms" => gateway.clock().now().since(since).as_millis() as u64);
        }
        attempted
    }

    async fn until_given_up(&self, limits: &SilenceLimits) -> Doubt {
        let clock = self.gateway.clock();
        loop {
            sleep_until(clock.instant(limits.due(clock.now()))).await;
            if let Some(why) = self.gives_up(limits) {
                return why;
            }
        }
    }

    /// Why a silent attempt is given up now, and its successor is paid for.
    pub(super) fn gives_up(&self, limits: &SilenceLimits) -> Option<Doubt> {
        let why = limits.verdict(&self.gateway, self.held.used.get())?;
        let has_successor =
            self.has_other_engine(&limits.engine) || limits.answers_later(&self.gateway);
        if has_successor && self.gateway.spend_speculative_retry(&self.request.pool) {
            return Some(why);
        }
        if !self.held.is_doubted.replace(true) {
            info!(self.gateway.log(), "silent_attempt_kept"; "request" => &self.request.caller.id,
                "why" => %why, "has_successor" => has_successor,
                "silent_ms" => self.gateway.clock().now().since(limits.since).as_millis() as u64);
        }
        None
    }

    /// An attempt is given up: neither its connection nor those as old are believed any longer.
    pub(super) fn give_up(
        &self,
        placement: &Placement,
        limits: &SilenceLimits,
        part: AwaitedPart,
        why: Doubt,
    ) -> AttemptEnd {
        let gateway = &self.gateway;
        let silent = gateway.clock().now().since(limits.since);
        gateway
            .upstream()
            .note_silent(&placement.engine, limits.since);
        let (pool, route) = (&self.request.pool, &self.request.route.name);
        // It takes at least so long; when all become slow, this raises the limit.
        let times = &mut gateway.state_mut().part_times;
        times.note(pool, route, part, silent);
        warn!(gateway.log(), "attempt_given_up"; "request" => &self.request.caller.id,
            "engine" => %placement.engine, "why" => %why, "awaited" => ?part,
            "connection" => self.held.used.get().map(|used| used.to_string()),
            "silent_ms" => silent.as_millis() as u64);
        AttemptEnd::Silent(why)
    }

    fn has_other_engine(&self, than: &BackEndName) -> bool {
        let now = self.gateway.clock().now();
        let (pool, id) = (&self.request.pool, &self.request.caller.id);
        let mut tried = self.tried.clone();
        tried.push(than.clone());
        let admission = self.gateway.admission(pool, id, &tried);
        let state = self.gateway.state();
        let mut engines = state.engines.of_pool(pool);
        engines.any(|engine| {
            let is_tried = tried.contains(&engine.entry.name);
            let is_able = engine.takes_work(now) && engine.health.is_serving();
            !is_tried && is_able && admission.admits(&engine.entry)
        })
    }

    /// Whether a request that may have run may be sent to another back end.
    pub(super) fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        route.is_idempotent() && self.arrivals < route.most_attempts
    }

    /// The answer when the time has run out.
    pub(super) fn out_of_time(&self) -> Refusal {
        // An attempt that was cut short may have written the request once it had a connection, and an
        // engine that answered its head may go on.
        let may_run = self.held.may_have_run() || self.has_answer;
        match may_run {
            false => Refusal::new(RefusalReason::DeadlineNotRun, "no engine in time")
                .come_back_after(NO_ENGINE_RETRY),
            true => Refusal::new(RefusalReason::DeadlineMayHaveRun, "no answer in time"),
        }
    }

    /// An attempt ended badly.
    pub(super) fn note_end(&mut self, placement: &Placement, end: &AttemptEnd) {
        // One that was given up before it had a connection has written nothing.
        let had_connection = self.held.used.get().is_some();
        self.may_have_run |= had_connection && end.may_have_run();
        if matches!(end, AttemptEnd::Broken(_)) {
            let run = Run::new(&self.request, placement, self.attempted_at);
            self.gateway.note_broken_run(&run);
        }
        self.held.is_at(HeldAt::after(end, self.held.used.get()));
        let is_silent = matches!(end, AttemptEnd::Silent(_));
        self.silent_engine = is_silent.then(|| placement.engine.clone());
        self.held.may_have_run.set(self.may_have_run);
        let left = self
            .request
            .route
            .most_attempts
            .saturating_sub(self.arrivals);
        self.held.attempts_left.set(left);
        let prompt = self.request.caller.prompt.as_ref();
        let model = prompt.map(|prompt| prompt.model.as_str());
        learn(&self.gateway, model, placement, end);
        let digest = end
            .may_have_run()
            .then(|| self.request.digest().to_string());
        warn!(self.gateway.log(), "attempt_failed"; "request" => &self.request.caller.id,
            "digest" => digest,
            "engine" => %placement.engine, "address" => %placement.address,
            "end" => %end, "weights" => placement.weights, "cost" => %placement.cost,
            "configuration" => self.request.configuration_version, "arrivals" => self.arrivals,
            "list" => %self.held.list.get());
    }

    /// An attempt ended well.
    pub(super) fn note_success(&self, placement: &Placement) {
        let is_in_life = self.gateway.is_same_incarnation(placement);
        let mut state = self.gateway.state_mut();
        let engine = state.engines.get_mut(&placement.engine);
        if let Some(engine) = engine.filter(|_| is_in_life) {
            engine.health.answered();
        }
        drop(state);
        let attempts = &self.gateway.metrics().attempts;
        attempts.with_label_values(&["answered"]).inc();
    }

    /// Chooses an engine that was not tried; if there is none, the one whose connection fell silent
    /// gets the request on a new one.
    fn place(&self, verdict: Verdict) -> Option<Placement> {
        let elsewhere = match verdict {
            Verdict::Trial => self.place_trial(),
            _ => self.place_outside(&self.tried),
        };
        elsewhere.or_else(|| {
            let silent = self.silent_engine.as_ref()?;
            let is_other = |engine: &&BackEndName| *engine != silent;
            let others: Vec<_> = self.tried.iter().filter(is_other).cloned().collect();
            self.place_outside(&others)
        })
    }

    /// At an engine that has ended a trial tells nothing, and how often it may be made is bounded: it waits for another one.
    fn place_trial(&self) -> Option<Placement> {
        let mut avoided = self.gateway.crashed_engines(&self.request.pool);
        avoided.extend(self.tried.iter().cloned());
        self.place_outside(&avoided)
    }

    fn place_outside(&self, tried: &[BackEndName]) -> Option<Placement> {
        let request = &self.request;
        let isolated = request.tenant.as_ref().filter(|tenant| tenant.is_isolated);
        self.gateway.choose(&PlacementRequest {
            id: &request.caller.id,
            pool: &request.pool,
            prompt: request.caller.prompt.as_ref(),
            isolated_tenant: isolated.map(|tenant| &tenant.name),
            target_latency: request.route.target_latency,
            body_bytes: request.body.len(),
            tried,
        })
    }

    fn no_engine(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, "no other engine");
        }
        let pool = &self.request.pool;
        let detail = match self.gateway.excluded_engines(pool) {
            Some(barred) => format!("pool '{pool}': no engine takes work ({barred})"),
            None => format!("pool '{pool}': no engine takes work"),
        };
        Refusal::new(RefusalReason::NoEngine, detail).come_back_after(self.wait(NO_ENGINE_RETRY))
    }

    /// It is not sent on, so that callers learn that at once, and when another try may be of use.
    fn ends_engines(&self, come_back_after: Duration) -> Refusal {
        let detail = "engines have ended under it";
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, detail);
        }
        Refusal::new(RefusalReason::EndsEngines, detail).come_back_after(come_back_after)
    }

    /// When to come back: once an engine may be sent something again, where all of them say when.
    fn wait(&self, otherwise: Duration) -> Duration {
        let opening = self.gateway.shortest_exclusion(&self.request.pool);
        opening.map_or(otherwise, |opening| opening.max(otherwise))
    }

    fn without_budget(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, "retry budget spent");
        }
        Refusal::new(RefusalReason::NotRun, "retry budget spent").come_back_after(NO_ROOM_RETRY)
    }

    fn refusal_after(&self, end: &AttemptEnd) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, end.to_string());
        }
        Refusal::new(RefusalReason::NotRun, end.to_string())
            .come_back_after(self.wait(NO_ROOM_RETRY))
    }
}
