//! Relays an engine's stream of events to the caller.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use ryerouter_core::Timestamp;
use ryerouter_core::retry::EngineHealth;
use slog::{info, warn};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::active_request::ActiveRequest;
use super::answer_body::AnswerBody;
use super::answer_reporter::AnswerReporter;
use super::attempt::note_probe_answered;
use super::attempt_error::AttemptError;
use super::live_answer::LiveAnswer;
use super::request_forwarder::{DOUBT_CHECK_INTERVAL, RequestForwarder};
use super::request_phase::RequestPhase;
use super::silence_cause::SilenceCause;
use super::silence_detector::SilenceDetector;
use crate::engines::AnswerPhase;
use crate::gateway::LEAST_RUN_TIME;
use crate::placement::Placement;
use crate::relay::{EventMeter, EventSplitter, RelayFault, StreamEnd, StreamPosition};
use crate::release::AnswerEnd;
use crate::upstream::ConnectionUse;

/// Relays a stream in complete events, and resumes it on another engine after a failure where the request allows that.
pub(super) struct StreamRelay {
    forwarder: RequestForwarder,
    /// The engine's answer; `None` after the end of the stream.
    live: Option<LiveAnswer>,
    splitter: EventSplitter,
    /// Bounds what the current engine sends besides events.
    meter: EventMeter,
    /// Whether a part of an event has come since silence was last measured from anew.
    has_data_come: bool,
    /// How far the caller has received the stream.
    position: StreamPosition,
    /// Whether an event has been received from an engine.
    has_begun: bool,
    /// When the first event of the current engine came.
    run_begun_at: Option<Timestamp>,
    /// Whether that engine is watched, see [`Gateway::watch_run`](crate::gateway::Gateway::watch_run).
    is_watched: bool,
    /// When that was last decided.
    run_checked_at: Timestamp,
    /// How often the stream has been resumed on another engine.
    resume_count: u32,
    /// Milliseconds from the arrival of the request to the first event.
    first_event_ms: Option<u64>,
    /// Detects silence of the engine; `None` before enough answers have been seen.
    detector: Option<SilenceDetector>,
    /// The phase of the answer that is awaited.
    awaited: AnswerPhase,
    awaited_since: Timestamp,
    /// Milliseconds from sending the request to the head of the first engine's answer.
    head_ms: u64,
    /// Milliseconds from the arrival of the request to the most recent event.
    last_event_ms: u64,
    /// Longest time between events, in milliseconds.
    longest_pause_ms: u64,
    active: ActiveRequest,
}

/// What was received from the engine.
enum Received {
    Bytes(Bytes),
    End,
    Broken(AttemptError),
    /// Nothing came for longer than usual, and the attempt is given up.
    Silent(SilenceCause),
}

impl StreamRelay {
    pub(super) fn new(
        forwarder: RequestForwarder,
        live: LiveAnswer,
        active: ActiveRequest,
    ) -> Self {
        Self {
            detector: None,
            awaited: AnswerPhase::FirstEvent,
            awaited_since: Timestamp::ZERO,
            head_ms: live.time_to_head.as_millis() as u64,
            position: match forwarder.request.caller.last_event_id.clone() {
                Some(id) => StreamPosition::After(id),
                None => StreamPosition::Start,
            },
            forwarder,
            live: Some(live),
            splitter: EventSplitter::default(),
            meter: EventMeter::new(Timestamp::ZERO),
            has_data_come: true,
            has_begun: false,
            run_begun_at: None,
            is_watched: false,
            run_checked_at: Timestamp::ZERO,
            resume_count: 0,
            first_event_ms: None,
            last_event_ms: 0,
            longest_pause_ms: 0,
            active,
        }
    }

    /// Creates the caller's answer, with the head that the first engine sent and the events as they arrive.
    pub(super) fn into_response(mut self) -> Response<AnswerBody> {
        self.await_phase(AnswerPhase::FirstEvent);
        let live = self.live.as_mut().expect("a new relay holds an answer");
        let (status, headers) = (live.status, std::mem::take(&mut live.headers));
        let events = unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        });
        let mut response = Response::new(AnswerBody::Stream(events.boxed_local()));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// The next events; `None` after the last ones. An error closes the caller's connection.
    async fn next(&mut self) -> Option<Result<Bytes, RelayFault>> {
        self.live.as_ref()?;
        let clock = self.forwarder.gateway.clock();
        let deadline = self.forwarder.request.deadline;
        match clock.until(deadline, self.next_events()).await {
            Some(Ok(Some(bytes))) => Some(Ok(bytes)),
            Some(Ok(None)) => {
                self.complete();
                None
            }
            Some(Err(fault)) => Some(Err(self.fail(StreamEnd::Broken, fault))),
            None => {
                let detail = "deadline reached".to_owned();
                Some(Err(self.fail(StreamEnd::Deadline, RelayFault { detail })))
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, RelayFault> {
        loop {
            match self.receive_timed().await {
                Received::Bytes(bytes) => match self.split(&bytes) {
                    Ok(Some(batch)) => {
                        let memory = self.forwarder.gateway.memory();
                        return Ok(Some(memory.hold_events(batch).await));
                    }
                    Ok(None) => {}
                    Err(fault) => self.resume(AttemptError::NoAnswer(fault.detail)).await?,
                },
                Received::End => match self.fault_of_end() {
                    None => return Ok(None),
                    Some(error) => self.resume(error).await?,
                },
                Received::Broken(error) => self.resume(error).await?,
                Received::Silent(why) => {
                    let error = self.give_up(why);
                    self.resume(error).await?;
                }
            }
        }
    }

    /// Takes received bytes, and returns what can be forwarded to the caller: events, or comments.
    fn split(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, RelayFault> {
        let now = self.forwarder.gateway.clock().now();
        let metered = self.meter.push(bytes, now)?;
        self.has_data_come |= metered.has_data;
        let batch = self.splitter.push(bytes)?;
        if let Some(batch) = &batch {
            if metered.events > 0 {
                self.report(|reporter| reporter.note_events(batch));
                self.note_events();
            }
            self.position.advance(batch);
        }
        Ok(batch)
    }

    /// Why the end of the stream is not the end of an answer, if it is not.
    fn fault_of_end(&self) -> Option<AttemptError> {
        if self.splitter.buffered_bytes() > 0 {
            let detail = "stream ended within an event".to_owned();
            return Some(AttemptError::Broken(detail));
        }
        // A stream that is taken up after its last event has no others.
        let may_be_empty = self.run_begun_at.is_some() || self.position.last_id().is_some();
        let ends_by_close = self.live.as_ref().is_some_and(|live| live.ends_by_close);
        let is_fault = ends_by_close && !may_be_empty;
        is_fault.then(|| AttemptError::NoAnswer("connection closed without an event".to_owned()))
    }

    /// Receives the next bytes, and reports the time spent waiting for them.
    async fn receive_timed(&mut self) -> Received {
        self.report(AnswerReporter::begin_wait);
        let received = self.receive().await;
        self.report(AnswerReporter::end_wait);
        received
    }

    /// Calls `note` with the reporter of the current answer, if there is one.
    fn report(&mut self, note: impl FnOnce(&mut AnswerReporter)) {
        if let Some(live) = &mut self.live {
            note(&mut live.reporter);
        }
    }

    /// Receives the next bytes. If the stream may be resumed elsewhere, the engine is given up when nothing comes for
    /// longer than usual, see [`SilenceDetector::detect`], or once it is doubted.
    async fn receive(&mut self) -> Received {
        let clock = self.forwarder.gateway.clock();
        if let Some(detector) = &mut self.detector
            && std::mem::take(&mut self.has_data_come)
        {
            // The time that the caller took to accept the previous events is not silence of the engine.
            detector.since = clock.now();
        }
        if !self.forwarder.may_retry() {
            return self.receive_frame().await;
        }
        let gateway = Rc::clone(&self.forwarder.gateway);
        let since = clock.now();
        loop {
            let Some(engine) = self.live.as_ref().map(|live| live.placement.engine.clone()) else {
                return self.receive_frame().await;
            };
            let detector = self.detector.as_ref();
            let due = detector.map(|detector| clock.instant(detector.next_check(clock.now())));
            let is_doubted = tokio::select! {
                biased;
                received = self.receive_frame() => return received,
                () = gateway.until_doubted(&engine, since) => true,
                () = until(due) => false,
            };
            if is_doubted {
                if self.forwarder.may_leave_doubted(&engine) {
                    return Received::Silent(SilenceCause::Doubted);
                }
                // The engine may still answer.
                let retry_at = Instant::now() + DOUBT_CHECK_INTERVAL;
                if let Ok(received) = timeout_at(retry_at, self.receive_frame()).await {
                    return received;
                }
            }
            // A connection that carries comments is not silent; whether the engine sends too many shows soon.
            if self.meter.is_undecided(clock.now()) {
                continue;
            }
            let detector = self.detector.as_ref();
            if let Some(why) =
                detector.and_then(|detector| self.forwarder.reason_to_give_up(detector))
            {
                return Received::Silent(why);
            }
        }
    }

    /// Starts to wait for another phase of the answer.
    fn await_phase(&mut self, phase: AnswerPhase) {
        self.awaited = phase;
        // The connection has carried the head of the answer, so it counts as new: only answers of the engine to later
        // requests make the connection suspect.
        self.forwarder
            .progress
            .connection_use
            .set(Some(ConnectionUse::New));
        let forwarder = &self.forwarder;
        let now = forwarder.gateway.clock().now();
        self.awaited_since = now;
        self.has_data_come = true;
        if phase == AnswerPhase::FirstEvent {
            self.meter = EventMeter::new(now);
        }
        let engine = self.live.as_ref().map(|live| &live.placement.engine);
        self.detector = engine.and_then(|engine| {
            SilenceDetector::new(&forwarder.gateway, &forwarder.request, engine, phase, now)
        });
    }

    fn give_up(&self, why: SilenceCause) -> AttemptError {
        let detector = self.detector.as_ref();
        let since = detector.map_or(self.awaited_since, |detector| detector.since);
        match &self.live {
            Some(live) => self
                .forwarder
                .give_up(&live.placement, since, self.awaited, why),
            None => AttemptError::Silent(why),
        }
    }

    async fn receive_frame(&mut self) -> Received {
        let Some(live) = &mut self.live else {
            let detail = "no engine is answering".to_owned();
            return Received::Broken(AttemptError::Broken(detail));
        };
        loop {
            match live.body.frame().await {
                None => return Received::End,
                Some(Err(error)) => {
                    return Received::Broken(live.transport_error(&self.forwarder.gateway, &error));
                }
                Some(Ok(frame)) => {
                    live.note_received(&self.forwarder.gateway);
                    if let Ok(bytes) = frame.into_data() {
                        return Received::Bytes(bytes);
                    }
                }
            }
        }
    }

    /// Resumes the stream on another engine after the last event that was forwarded to the caller.
    async fn resume(&mut self, error: AttemptError) -> Result<(), RelayFault> {
        let fault = RelayFault {
            detail: error.to_string(),
        };
        self.detector = None;
        self.report(|reporter| reporter.end(error.answer_end()));
        // Dropping the answer closes its connection and ends the former run before another one starts.
        let former = self.live.take().map(|live| live.placement);
        if let Some(placement) = &former {
            self.forwarder.note_failure(placement, &error);
        }
        if !self.forwarder.may_retry() {
            return Err(fault);
        }
        if self.position == StreamPosition::Unknown {
            return Err(RelayFault {
                detail: format!("{}; the last event has no id to go on after", fault.detail),
            });
        }
        self.splitter = EventSplitter::default();
        let last_event_id = self.position.last_id().map(str::to_owned);
        let next = self.forwarder.next_answer(last_event_id.as_deref()).await;
        match next {
            Ok(live) if live.status.is_success() => {
                self.resume_count += 1;
                self.run_begun_at = None;
                self.is_watched = false;
                info!(self.forwarder.gateway.log(), "stream_resumed";
                    "request" => &self.forwarder.request.caller.id,
                    "engine" => %live.placement.engine, "software" => &live.placement.software,
                    "former_software" => former.map(|former| former.software),
                    "after_event" => last_event_id);
                self.live = Some(live);
                self.await_phase(AnswerPhase::FirstEvent);
                Ok(())
            }
            Ok(mut live) => {
                live.reporter.end(match live.status.is_server_error() {
                    true => AnswerEnd::Failed,
                    false => AnswerEnd::Whole { is_success: false },
                });
                Err(RelayFault {
                    detail: format!("{}; then status {}", fault.detail, live.status.as_u16()),
                })
            }
            Err(refusal) => Err(RelayFault {
                detail: format!("{}; then {refusal}", fault.detail),
            }),
        }
    }

    /// Records the arrival of the first event of an engine's answer.
    fn note_first_event(&mut self) {
        if self.awaited != AnswerPhase::FirstEvent {
            return;
        }
        let gateway = &self.forwarder.gateway;
        let took = gateway.clock().now().since(self.awaited_since);
        self.note_time(AnswerPhase::FirstEvent, took);
        self.note_first_token(took);
        if let Some(live) = &self.live {
            let (gateway, request) = (&self.forwarder.gateway, &self.forwarder.request);
            let answered = EngineHealth::answered;
            note_probe_answered(gateway, request, &live.placement, answered);
        }
        self.await_phase(AnswerPhase::Pause);
    }

    /// Records how long after sending the request its engine's first event came, given the time
    /// since the head of the answer.
    fn note_first_token(&self, since_head: Duration) {
        let RequestForwarder {
            gateway, request, ..
        } = &self.forwarder;
        let Some(live) = &self.live else {
            return;
        };
        let Some(expected) = live.expected_prefill else {
            return;
        };
        let after = live.time_to_head + since_head;
        let route = &request.route.name;
        gateway.note_first_token(&request.pool, route, &live.placement, expected, after);
    }

    fn note_time(&self, phase: AnswerPhase, took: Duration) {
        let RequestForwarder {
            gateway, request, ..
        } = &self.forwarder;
        let times = &mut gateway.state_mut().phase_times;
        times.note(&request.pool, &request.route.name, phase, took);
    }

    /// Records the arrival of events.
    fn note_events(&mut self) {
        self.note_first_event();
        if self.forwarder.progress.is_overdue.replace(false) {
            info!(self.forwarder.gateway.log(), "doubted_attempt_answered";
                "request" => &self.forwarder.request.caller.id, "events" => true);
        }
        let Some(live) = &mut self.live else {
            return;
        };
        live.in_flight.note_prefill_done();
        self.forwarder.progress.set_phase(RequestPhase::Stream);
        let elapsed_ms = self.active.elapsed_ms();
        if self.has_begun {
            let pause_ms = elapsed_ms - self.last_event_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = elapsed_ms;
        if !self.has_begun {
            self.forwarder.note_stream_begun(&live.placement);
            self.has_begun = true;
            self.first_event_ms = Some(self.active.elapsed_ms());
            let gateway = &self.forwarder.gateway;
            let seconds = self.active.elapsed_ms() as f64 / 1e3;
            gateway.metrics().first_answer_seconds.observe(seconds);
            let pool = &self.forwarder.request.pool;
            gateway.note_request_start(pool, Duration::from_millis(elapsed_ms));
            gateway.note_prefill_done(&live.placement);
            count_tokens(&self.forwarder, &live.placement);
        }
        self.watch_run();
    }

    /// Has the engine watched once the run has gone on for a while. Engines may begin to crash under the request or its parts
    /// at any time of the run, so this is decided again and again.
    fn watch_run(&mut self) {
        let gateway = &self.forwarder.gateway;
        let now = gateway.clock().now();
        let begun_at = *self.run_begun_at.get_or_insert(now);
        let is_due = now.since(begun_at.max(self.run_checked_at)) >= LEAST_RUN_TIME;
        if let Some(live) = self.live.as_ref().filter(|_| is_due) {
            self.run_checked_at = now;
            let request = &self.forwarder.request;
            self.is_watched =
                gateway.watch_run(request, &live.placement, begun_at, self.is_watched);
        }
    }

    fn complete(&mut self) {
        let whole = AnswerEnd::Whole { is_success: true };
        self.report(|reporter| reporter.end(whole));
        let Some(live) = self.live.take() else {
            return;
        };
        let gateway = Rc::clone(&self.forwarder.gateway);
        let placement = live.release(&gateway);
        self.forwarder.note_success(&placement);
        gateway.note_successful_run(&self.forwarder.request);
        self.active.end("answered");
        if self.resume_count == 0 {
            let pause = Duration::from_millis(self.longest_pause_ms);
            self.note_time(AnswerPhase::Pause, pause);
        }
        let Some(left_out) = gateway.sampler().admit(gateway.clock().now()) else {
            return;
        };
        let request = &self.forwarder.request;
        let fetch = placement.fetch.as_ref();
        info!(gateway.log(), "stream_answered"; "request" => &request.caller.id,
            "route" => &request.route.name, "engine" => %placement.engine,
            "software" => &placement.software, "resumes" => request.caller.resumes.as_deref(),
            "weights" => placement.weights, "cached" => placement.cached_tokens,
            "fetched" => fetch.map(|fetch| fetch.tokens),
            "fetched_from" => fetch.map(|fetch| fetch.holder.to_string()),
            "prefix" => placement.keys.shared().last().map(|(key, _)| format!("{:016x}", key.0)),
            "saved" => placement.save_to.is_some(), "unread" => placement.unread_tokens,
            "expected_tokens" => request.caller.prompt.as_ref().and_then(|prompt| prompt.expected_tokens),
            "head_ms" => self.head_ms, "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause_ms, "cost" => %placement.cost,
            "arrivals" => self.forwarder.arrivals, "resumed" => self.resume_count,
            "configuration" => request.configuration_version,
            "list" => %self.forwarder.progress.engine_list.get(),
            "after_ms" => self.active.elapsed_ms(), "left_out" => left_out);
    }

    fn fail(&mut self, end: StreamEnd, fault: RelayFault) -> RelayFault {
        if end == StreamEnd::Broken {
            self.report(|reporter| reporter.end(AnswerEnd::Failed));
        }
        self.live = None;
        self.active.end_unserved(&format!("stream_{end}"));
        warn!(self.forwarder.gateway.log(), "stream_failed";
            "request" => &self.forwarder.request.caller.id, "end" => %end,
            "detail" => &fault.detail, "arrivals" => self.forwarder.arrivals,
            "resumed" => self.resume_count, "last_event" => self.position.last_id(),
            "resumes" => self.forwarder.request.caller.resumes.clone(),
            "after_ms" => self.active.elapsed_ms());
        fault
    }
}

/// Resolves at `due`; never if there is none.
async fn until(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => pending().await,
    }
}

/// Counts the tokens of the prompt by where the engine gets them; those counted as `read` must be prefilled.
fn count_tokens(forwarder: &RequestForwarder, placement: &Placement) {
    let tokens = &forwarder.gateway.metrics().prompt_tokens;
    let fetched = placement.fetch.as_ref().map_or(0, |fetch| fetch.tokens);
    let by_source = [
        ("cached", placement.cached_tokens),
        ("fetched", fetched),
        ("read", placement.unread_tokens),
    ];
    for (source, count) in by_source {
        tokens.with_label_values(&[source]).inc_by(u64::from(count));
    }
}
