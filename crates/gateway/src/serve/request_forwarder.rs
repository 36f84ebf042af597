//! Forwards one request to engines, with retries.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::Unresolved;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::Verdict;
use slog::{info, warn};
use tokio::time::{sleep, sleep_until};

use super::accepted_request::AcceptedRequest;
use super::attempt::{apply_attempt_error, attempt};
use super::attempt_error::AttemptError;
use super::live_answer::{LiveAnswer, WholeAnswer};
use super::request_phase::RequestPhase;
use super::request_progress::RequestProgress;
use super::silence_cause::SilenceCause;
use super::silence_detector::SilenceDetector;
use super::start_deadline::StartDeadline;
use crate::catalogue::{CacheScope, RequestKind};
use crate::continuation::SoftwareConstraint;
use crate::engines::{AnswerPhase, Engine};
use crate::gateway::Gateway;
use crate::permits::Permit;
use crate::placement::{Placement, PlacementRequest};
use crate::poison::Run;
use crate::request::{Draw, Refusal, RefusalReason};

/// Retry-after time when no engine accepts requests.
const NO_ENGINE_RETRY: Duration = Duration::from_millis(400);
/// Retry-after time when engines refused the request or could not be reached, or the retry budget is spent.
const NO_ROOM_RETRY: Duration = Duration::from_millis(250);

/// Retry-after time when the version of a stream is not known here; callers find other nodes, which may know it.
const UNKNOWN_VERSION_RETRY: Duration = Duration::from_millis(100);

/// Interval between checks whether a request that waits at a doubted engine may move.
pub(super) const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The part of an engine's answer that must be received before the caller is sent the head.
pub(super) enum FirstAnswer {
    /// All of an answer that is not a stream, or not a successful one.
    Whole(Box<WholeAnswer>),
    /// The head of a stream.
    Stream(Box<LiveAnswer>),
}

/// Forwards one request to engines, making further attempts where the request may run again.
pub(super) struct RequestForwarder {
    pub(super) gateway: Rc<Gateway>,
    pub(super) request: AcceptedRequest,
    /// How far the request has come, for the log.
    pub(super) progress: Rc<RequestProgress>,
    /// Engines to which an attempt was made, including those that could not be reached.
    pub(super) tried: Vec<BackEndName>,
    /// Number of attempts that reached an engine.
    pub(super) arrivals: u32,
    /// Whether an earlier attempt may have run the request.
    pub(super) may_have_run: bool,
    /// Whether the next attempt has already been charged to the retry budget.
    is_retry_prepaid: bool,
    /// Whether the request is blocked, and runs as a trial that shows whether it still crashes its engine.
    is_trial: bool,
    /// Engine of the last attempt, if that was given up because of silence; the engine may answer over a new connection.
    silent_engine: Option<BackEndName>,
    /// Whether an engine has begun to answer.
    pub(super) has_answer_begun: bool,
    /// When the last attempt started.
    attempt_started_at: Timestamp,
    /// Software versions that may take the request.
    software: SoftwareConstraint,
}

impl RequestForwarder {
    pub(super) fn new(
        gateway: Rc<Gateway>,
        request: AcceptedRequest,
        progress: Rc<RequestProgress>,
    ) -> Self {
        let software = match request.is_resumable_stream() {
            true => SoftwareConstraint::Settled,
            false => SoftwareConstraint::Any,
        };
        Self {
            software,
            progress,
            gateway,
            request,
            tried: Vec::new(),
            arrivals: 0,
            may_have_run: false,
            is_retry_prepaid: false,
            is_trial: false,
            silent_engine: None,
            has_answer_begun: false,
            attempt_started_at: Timestamp::ZERO,
        }
    }

    /// Makes attempts until an answer can be sent to the caller: a complete one, or the head of a stream.
    pub(super) async fn first_answer(&mut self) -> Result<FirstAnswer, Refusal> {
        let orders = self.gateway.until_orders_known(&self.request.pool);
        if self.request.is_resumable_stream() && self.request.caller.is_continuation() {
            let version = self.gateway.continuation_version(&self.request);
            let (version, ()) = tokio::join!(version, orders);
            let version = version.map_err(|why| self.unknown_version_refusal(why))?;
            self.software = SoftwareConstraint::Only(version);
        } else if self.request.is_resumable_stream() {
            let versions = self.gateway.until_versions_settled(&self.request.pool);
            tokio::join!(versions, orders);
        } else {
            orders.await;
        }
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
                Ok(whole) if whole.status.is_server_error() && self.may_retry() => {
                    let error = AttemptError::EngineError(whole.status.as_u16());
                    self.note_failure(&placement, &error);
                }
                Ok(whole) => {
                    self.note_success(&placement);
                    if !whole.status.is_server_error() {
                        self.gateway.note_successful_run(&self.request);
                    }
                    return Ok(FirstAnswer::Whole(Box::new(whole)));
                }
                Err(error) => {
                    self.note_failure(&placement, &error);
                    if !self.may_retry() {
                        return Err(self.failure_refusal(&error));
                    }
                }
            }
        }
    }

    /// Makes attempts until an engine sends the head of a usable answer.
    pub(super) async fn next_answer(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<LiveAnswer, Refusal> {
        loop {
            self.check_time_until_stop()?;
            // When a request crashes engines, its caller retries it under other ids and at other nodes, where the
            // earlier attempts count neither against the maximum number of attempts nor against the retry budget. Only
            // the crash history that all nodes share prevents the request from crashing another engine.
            let has_records = self.gateway.wait_for_poison_records(&self.request).await;
            if !has_records && self.may_have_run && self.gateway.may_be_blocked(&self.request) {
                return Err(self.poison_refusal(NO_ENGINE_RETRY));
            }
            let verdict = self.verdict();
            if let Verdict::Refused { retry_after } = verdict {
                return Err(self.poison_refusal(retry_after));
            }
            let is_new = self.tried.is_empty() && last_event_id.is_none();
            let (mut placement, permit) = self.place_with_permit(verdict, is_new).await?;
            // It may have waited for the permit.
            self.check_time_until_stop()?;
            let is_prepaid = std::mem::take(&mut self.is_retry_prepaid) || self.arrivals == 0;
            if !is_prepaid && !self.gateway.spend_retry(&self.request.pool) {
                return Err(self.budget_refusal());
            }
            let is_trial = verdict == Verdict::Trial;
            if is_trial && !std::mem::replace(&mut self.is_trial, true) {
                self.gateway.begin_trial(&self.request).await;
            }
            self.renew_cache_scope(&mut placement);
            if self.may_have_run && !self.has_answer_begun {
                self.gateway.charge_again(&self.request);
            }
            self.progress.begin_attempt();
            let left = self.request.route.max_attempts;
            self.progress
                .attempts_left
                .set(left.saturating_sub(self.arrivals + 1));
            let is_first = self.tried.is_empty();
            let pool = &self.request.pool;
            self.gateway.note_sent(pool, &placement, is_first);
            self.attempt_started_at = self.gateway.clock().now();
            let attempted = self
                .attempt_until_outdated(&placement, last_event_id, permit)
                .await;
            match attempted {
                Ok(live) => {
                    self.has_answer_begun = true;
                    self.arrivals += 1;
                    self.tried.push(placement.engine);
                    return Ok(live);
                }
                Err(error) => {
                    self.tried.push(placement.engine.clone());
                    self.arrivals += u32::from(error.reached_engine());
                    self.note_failure(&placement, &error);
                    let is_last = self.arrivals >= self.request.route.max_attempts;
                    let must_not_repeat = self.may_have_run && !self.request.route.is_idempotent();
                    if is_last || must_not_repeat {
                        return Err(self.failure_refusal(&error));
                    }
                }
            }
        }
    }

    /// Whether the request may be sent to an engine now. A trial that has started may continue until an attempt may have
    /// run the request.
    fn verdict(&self) -> Verdict {
        match self.is_trial && !self.may_have_run {
            true => Verdict::Trial,
            false => self.gateway.poison_verdict(&self.request),
        }
    }

    /// Makes an attempt, and gives it up when no answer has come before the deadline of the engine's weights. Closing
    /// the connection takes the request out of the engine's queue.
    async fn attempt_until_outdated(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
        permit: Option<Permit>,
    ) -> Result<LiveAnswer, AttemptError> {
        let attempt = self.attempt_until_silent(placement, last_event_id, permit);
        let Some(deadline) = StartDeadline::new(&self.request, placement) else {
            return attempt.await;
        };
        tokio::select! {
            biased;
            attempted = attempt => attempted,
            weights = deadline.passed(&self.gateway) => Err(AttemptError::Outdated(weights)),
        }
    }

    /// Makes an attempt, and gives it up when no answer comes for longer than usual and the request can be sent again.
    /// If the request can't be sent again, keeps waiting, since an answer may still come.
    async fn attempt_until_silent(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
        permit: Option<Permit>,
    ) -> Result<LiveAnswer, AttemptError> {
        let (gateway, request) = (&self.gateway, &self.request);
        let since = gateway.clock().now();
        let progress = &self.progress;
        let attempt = attempt(gateway, request, placement, last_event_id, progress, permit);
        if !request.route.is_idempotent() || self.arrivals + 1 >= request.route.max_attempts {
            return attempt.await;
        }
        let phase = AnswerPhase::Head;
        let detector = SilenceDetector::new(gateway, request, &placement.engine, phase, since);
        let attempted = tokio::select! {
            biased;
            attempted = attempt => attempted,
            why = self.until_given_up(detector.as_ref()) => Err(self.give_up(placement, since, phase, why)),
            why = self.until_doubted(&placement.engine, since) => Err(self.give_up(placement, since, phase, why)),
        };
        if attempted.is_ok() && self.progress.is_overdue.get() {
            info!(gateway.log(), "doubted_attempt_answered"; "request" => &request.caller.id,
                "engine" => %placement.engine,
                "after_ms" => gateway.clock().now().since(since).as_millis() as u64);
        }
        attempted
    }

    /// Waits until the current attempt is to be given up.
    async fn until_given_up(&self, detector: Option<&SilenceDetector>) -> SilenceCause {
        let Some(detector) = detector else {
            return pending().await;
        };
        let clock = self.gateway.clock();
        loop {
            sleep_until(clock.instant(detector.next_check(clock.now()))).await;
            if let Some(why) = self.reason_to_give_up(detector) {
                return why;
            }
        }
    }

    /// Waits until the engine of the current attempt, which began at `since`, is doubted and the request may move.
    async fn until_doubted(&self, engine: &BackEndName, since: Timestamp) -> SilenceCause {
        loop {
            self.gateway.until_doubted(engine, since).await;
            // A connection that is not open yet shows soon whether the engine can be reached.
            let has_connection = self.progress.connection_use.get().is_some();
            if has_connection && self.may_leave_doubted(engine) {
                return SilenceCause::Doubted;
            }
            sleep(DOUBT_CHECK_INTERVAL).await;
        }
    }

    /// Decides whether an attempt at a doubted engine is given up. If so, charges the next one to the retry budget.
    pub(super) fn may_leave_doubted(&self, engine: &BackEndName) -> bool {
        self.has_other_engine(engine) && self.gateway.spend_speculative_retry(&self.request.pool)
    }

    /// Decides whether a silent attempt is given up now. If so, charges the next attempt to the retry budget, and
    /// returns the suspected cause of the silence.
    pub(super) fn reason_to_give_up(&self, detector: &SilenceDetector) -> Option<SilenceCause> {
        let why = detector.detect(&self.gateway, self.progress.connection_use.get())?;
        let has_successor =
            self.has_other_engine(&detector.engine) || detector.has_later_answers(&self.gateway);
        if has_successor && self.gateway.spend_speculative_retry(&self.request.pool) {
            return Some(why);
        }
        if !self.progress.is_overdue.replace(true) {
            info!(self.gateway.log(), "silent_attempt_kept"; "request" => &self.request.caller.id,
                "why" => %why, "has_successor" => has_successor,
                "silent_ms" => self.gateway.clock().now().since(detector.since).as_millis() as u64);
        }
        None
    }

    /// Gives up a silent attempt. Idle connections to the engine that have received nothing since the silence began are
    /// closed, since they may be broken too.
    pub(super) fn give_up(
        &self,
        placement: &Placement,
        since: Timestamp,
        phase: AnswerPhase,
        why: SilenceCause,
    ) -> AttemptError {
        let gateway = &self.gateway;
        let silent = gateway.clock().now().since(since);
        gateway.upstream().note_silent(&placement.engine, since);
        let (pool, route) = (&self.request.pool, &self.request.route.name);
        // The answer takes at least this long. If all answers become slower, these values raise the limit. How long a
        // doubted engine would take is not known.
        if why != SilenceCause::Doubted {
            let times = &mut gateway.state_mut().phase_times;
            times.note(pool, route, phase, silent);
        }
        warn!(gateway.log(), "attempt_given_up"; "request" => &self.request.caller.id,
            "engine" => %placement.engine, "why" => %why, "awaited" => ?phase,
            "connection" => self.progress.connection_use.get().map(|used| used.to_string()),
            "silent_ms" => silent.as_millis() as u64);
        AttemptError::Silent(why)
    }

    /// Whether an engine other than `current` that has not been tried could be sent the request now.
    fn has_other_engine(&self, current: &BackEndName) -> bool {
        let now = self.gateway.clock().now();
        let (pool, id) = (&self.request.pool, &self.request.caller.id);
        let mut tried = self.tried.clone();
        tried.push(current.clone());
        let software = &self.software;
        let admission = self.gateway.admission(pool, id, &tried, software);
        let state = self.gateway.state();
        let mut engines = state.engines.of_pool(pool);
        engines.any(|engine| {
            let is_tried = tried.contains(&engine.entry.name);
            let can_serve = engine.takes_work(now) && engine.is_healthy(now);
            !is_tried && can_serve && admission.admits(&engine.entry)
        })
    }

    /// Whether a request that may have run may be sent to an engine again.
    pub(super) fn may_retry(&self) -> bool {
        let route = &self.request.route;
        route.is_idempotent() && self.arrivals < route.max_attempts
    }

    /// The refusal after the request's deadline has passed.
    pub(super) fn deadline_refusal(&self) -> Refusal {
        // An attempt that was cut off may have sent the request once it had a connection, and an engine that has sent
        // the head of an answer may still be running the request.
        let may_run = self.progress.may_have_run() || self.has_answer_begun;
        match may_run {
            false => Refusal::new(
                RefusalReason::DeadlineNotRun,
                "deadline reached before an engine ran the request",
            )
            .with_retry_after(self.retry_after(NO_ENGINE_RETRY)),
            true => Refusal::new(
                RefusalReason::DeadlineMayHaveRun,
                "deadline reached before an engine answered",
            ),
        }
    }

    /// Records an attempt without a usable answer, and logs it.
    pub(super) fn note_failure(&mut self, placement: &Placement, error: &AttemptError) {
        // An attempt that was given up before it had a connection has sent nothing.
        let had_connection = self.progress.connection_use.get().is_some();
        self.may_have_run |= had_connection && error.may_have_run();
        if matches!(error, AttemptError::Broken(_)) {
            let run = Run::new(&self.request, placement, self.attempt_started_at);
            self.gateway.note_broken_run(&run);
        }
        self.progress.set_phase(RequestPhase::after(
            error,
            self.progress.connection_use.get(),
        ));
        // An attempt is given up only once the next one has been charged.
        self.is_retry_prepaid = matches!(error, AttemptError::Silent(_));
        let is_silent = matches!(
            error,
            AttemptError::Silent(SilenceCause::Connection | SilenceCause::Engine)
        );
        self.silent_engine = is_silent.then(|| placement.engine.clone());
        self.progress.may_have_run.set(self.may_have_run);
        let left = self
            .request
            .route
            .max_attempts
            .saturating_sub(self.arrivals);
        self.progress.attempts_left.set(left);
        apply_attempt_error(
            &self.gateway,
            &self.request,
            placement,
            error,
            self.arrivals,
        );
        let digest = error
            .may_have_run()
            .then(|| self.request.digest().to_string());
        warn!(self.gateway.log(), "attempt_failed"; "request" => &self.request.caller.id,
            "digest" => digest,
            "engine" => %placement.engine, "address" => %placement.address,
            "end" => %error, "weights" => placement.weights, "cost" => %placement.cost,
            "configuration" => self.request.configuration_version, "arrivals" => self.arrivals,
            "list" => %self.progress.engine_list.get());
    }

    /// Records an attempt whose answer was received completely.
    pub(super) fn note_success(&self, placement: &Placement) {
        self.note_duration();
        let is_same_incarnation = self.gateway.is_same_incarnation(placement);
        let mut state = self.gateway.state_mut();
        let engine = state.engines.get_mut(&placement.engine);
        if let Some(engine) = engine.filter(|_| is_same_incarnation) {
            let id = &self.request.caller.id;
            let update = |engine: &mut Engine| engine.health.answered();
            self.gateway
                .update_health(engine, &"answer", Some(id), update);
        }
        drop(state);
        let attempts = &self.gateway.metrics().attempts;
        attempts.with_label_values(&["answered"]).inc();
    }

    /// Chooses an engine that has not been tried. If there is none, chooses the one whose last attempt was given up
    /// because of silence, since it may answer over a new connection.
    /// Engines in `passed_over` are not considered.
    pub(super) fn place(&self, verdict: Verdict, passed_over: &[BackEndName]) -> Option<Placement> {
        let mut avoided = self.tried.clone();
        avoided.extend(passed_over.iter().cloned());
        let elsewhere = match verdict {
            Verdict::Trial => self.place_trial(avoided),
            _ => self.place_avoiding(&avoided),
        };
        elsewhere.or_else(|| {
            let silent = self.silent_engine.as_ref()?;
            let is_other = |engine: &&BackEndName| *engine != silent;
            let others = self.tried.iter().filter(is_other).chain(passed_over);
            let others: Vec<_> = others.cloned().collect();
            self.place_avoiding(&others)
        })
    }

    /// Chooses an engine for a trial. Engines that have crashed recently are excluded: a trial on them would show
    /// nothing, and the number of trials is limited.
    fn place_trial(&self, mut avoided: Vec<BackEndName>) -> Option<Placement> {
        avoided.extend(self.gateway.crashed_engines(&self.request.pool));
        self.place_avoiding(&avoided)
    }

    /// The cache scope of the request. By the configuration now in force, not by the one that admitted the request: its
    /// tenant may have been isolated meanwhile.
    fn cache_scope(&self) -> CacheScope {
        let tenant = self.request.tenant.as_ref();
        let state = self.gateway.state();
        let table = state.table.as_ref();
        let scope = table.map(|table| table.cache_scope(tenant.map(|tenant| &tenant.name)));
        scope.unwrap_or_default()
    }

    /// Updates a placement that was chosen before the request waited.
    fn renew_cache_scope(&self, placement: &mut Placement) {
        if let Some(prompt) = &self.request.caller.prompt {
            placement.move_to_scope(prompt, &self.cache_scope());
        }
    }

    fn place_avoiding(&self, tried: &[BackEndName]) -> Option<Placement> {
        let request = &self.request;
        let cache_scope = self.cache_scope();
        let placed = PlacementRequest {
            id: &request.caller.id,
            pool: &request.pool,
            prompt: request.caller.prompt.as_ref(),
            cache_scope: &cache_scope,
            target_latency: request.route.target_latency,
            body_bytes: request.body.len(),
            tried,
        };
        self.gateway.choose_version(&placed, &self.software)
    }

    /// The refusal when no engine can be chosen.
    pub(super) fn no_engine_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, "no other engine for a retry");
        }
        let pool = &self.request.pool;
        if let SoftwareConstraint::Only(software) = &self.software
            && self.gateway.is_version_in_service(pool, software) == Some(false)
        {
            let detail = format!("pool '{pool}' has no engine of version '{software}' any more");
            return Refusal::new(RefusalReason::VersionGone, detail);
        }
        let detail = match self.gateway.excluded_engines(pool) {
            Some(exclusions) => format!("no engine of pool '{pool}' accepts work ({exclusions})"),
            None => format!("no engine of pool '{pool}' accepts work"),
        };
        Refusal::new(RefusalReason::NoEngine, detail)
            .with_retry_after(self.retry_after(NO_ENGINE_RETRY))
    }

    /// The refusal of a request that takes up a stream whose version is not known. Another node may know it.
    fn unknown_version_refusal(&self, why: Unresolved) -> Refusal {
        let caller = &self.request.caller;
        let resumes = caller.resumes.as_deref().unwrap_or_default();
        let detail = format!("version of the stream that request '{resumes}' began: {why}");
        Refusal::new(RefusalReason::UnknownVersion, detail)
            .with_retry_after(self.retry_after(UNKNOWN_VERSION_RETRY))
    }

    /// Records that the caller gets events of the engine of `placement` now, so that the stream goes on only at engines
    /// of the same software version.
    pub(super) fn note_stream_begun(&mut self, placement: &Placement) {
        if !self.request.is_resumable_stream() {
            return;
        }
        let software = &placement.software;
        self.gateway.note_stream_version(&self.request, software);
        self.software = SoftwareConstraint::Only(software.clone());
    }

    /// The refusal of a request that is sent to no further engine because engines have crashed under it. Unless an
    /// attempt of this request may have run, the refusal states when a retry may help.
    fn poison_refusal(&self, retry_after: Duration) -> Refusal {
        let detail = "engines have crashed while running this request";
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, detail);
        }
        Refusal::new(RefusalReason::CrashesEngines, detail).with_retry_after(retry_after)
    }

    /// The time until the first excluded engine of the pool may be sent requests again, if it is known and longer than
    /// `otherwise`; else `otherwise`. A part of `otherwise` is added that differs by request, so that callers refused at
    /// the same moment don't return at the same moment.
    pub(super) fn retry_after(&self, otherwise: Duration) -> Duration {
        let opening = self.gateway.shortest_exclusion(&self.request.pool);
        let wait = opening.map_or(otherwise, |opening| opening.max(otherwise));
        wait + otherwise.mul_f64(Draw::Return.of(&self.request.caller.id))
    }

    /// The refusal when the retry budget allows no further attempt.
    fn budget_refusal(&self) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, "retry budget spent");
        }
        Refusal::new(RefusalReason::NotRun, "retry budget spent")
            .with_retry_after(self.retry_after(NO_ROOM_RETRY))
    }

    /// The refusal after the last attempt has failed with `error`.
    fn failure_refusal(&self, error: &AttemptError) -> Refusal {
        if self.may_have_run {
            return Refusal::new(RefusalReason::MayHaveRun, error.to_string());
        }
        Refusal::new(RefusalReason::NotRun, error.to_string())
            .with_retry_after(self.retry_after(NO_ROOM_RETRY))
    }
}
