//! Passing a stream of events on.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use ryerouter_core::Timestamp;
use slog::{info, warn};
use tokio::time::timeout_at;

use super::active_request::ActiveRequest;
use super::answer_body::AnswerBody;
use super::answer_reporter::AnswerReporter;
use super::attempt_end::AttemptEnd;
use super::doubt::Doubt;
use super::exchange::Exchange;
use super::held_at::HeldAt;
use super::live_answer::LiveAnswer;
use super::silence_limits::SilenceLimits;
use crate::engines::AwaitedPart;
use crate::placement::Placement;
use crate::relay::{EventSplitter, RelayFault, StreamEnd};
use crate::release::AnswerEnd;
use crate::upstream::ConnectionUse;

/// Passes a stream on, whole event by whole event, and goes on at another engine where it may.
pub(super) struct StreamRelay {
    exchange: Exchange,
    /// `None` after the end.
    live: Option<LiveAnswer>,
    splitter: EventSplitter,
    last_event_id: Option<String>,
    has_begun: bool,
    resumed: u32,
    /// From the arrival of the request to the first event.
    first_event_ms: Option<u64>,
    /// How long silence is believed now; `None` before enough was seen.
    limits: Option<SilenceLimits>,
    awaited: AwaitedPart,
    awaited_since: Timestamp,
    /// From the last attempt's begin to the head of its answer.
    head_ms: u64,
    /// From the arrival of the request to the last event so far.
    last_event_ms: u64,
    /// Longest time between events.
    longest_pause_ms: u64,
    active: ActiveRequest,
}

/// What the engine's side of a stream gave.
enum Received {
    Bytes(Bytes),
    End,
    Broken(String),
    /// Nothing for longer than is usual.
    Silent(Doubt),
}

impl StreamRelay {
    pub(super) fn new(exchange: Exchange, live: LiveAnswer, active: ActiveRequest) -> Self {
        Self {
            limits: None,
            awaited: AwaitedPart::FirstEvent,
            awaited_since: Timestamp::ZERO,
            head_ms: live.head_after.as_millis() as u64,
            last_event_id: exchange.request.caller.last_event_id.clone(),
            exchange,
            live: Some(live),
            splitter: EventSplitter::default(),
            has_begun: false,
            resumed: 0,
            first_event_ms: None,
            last_event_ms: 0,
            longest_pause_ms: 0,
            active,
        }
    }

    /// The caller's answer: head of the first engine, events as they come.
    pub(super) fn into_response(mut self) -> Response<AnswerBody> {
        self.await_part(AwaitedPart::FirstEvent);
        let live = self.live.as_mut().expect("begins with an answer");
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

    /// The next events; `None` after the last; an error breaks the caller's connection off.
    async fn next(&mut self) -> Option<Result<Bytes, RelayFault>> {
        self.live.as_ref()?;
        let clock = self.exchange.gateway.clock();
        let deadline = self.exchange.request.deadline;
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
            match self.receive_watched().await {
                Received::Bytes(bytes) => {
                    if let Some(batch) = self.splitter.push(&bytes)? {
                        self.watch(|watched| watched.note_events(&batch.bytes));
                        self.note_begun();
                        self.last_event_id = batch.last_id.or(self.last_event_id.take());
                        return Ok(Some(batch.bytes));
                    }
                }
                Received::End if self.splitter.held_bytes() == 0 => return Ok(None),
                Received::End => {
                    let detail = "ended within an event".to_owned();
                    self.resume(AttemptEnd::Broken(detail)).await?;
                }
                Received::Broken(detail) => self.resume(AttemptEnd::Broken(detail)).await?,
                Received::Silent(why) => {
                    let end = self.give_up(why);
                    self.resume(end).await?;
                }
            }
        }
    }

    /// What comes next, and how long it was waited for.
    async fn receive_watched(&mut self) -> Received {
        self.watch(AnswerReporter::begin_wait);
        let received = self.receive().await;
        self.watch(AnswerReporter::end_wait);
        received
    }

    fn watch(&mut self, note: impl FnOnce(&mut AnswerReporter)) {
        if let Some(live) = &mut self.live {
            note(&mut live.watched);
        }
    }

    /// What comes next. A stream that may go on elsewhere is given up when nothing comes for longer
    /// than is usual while its engine answers what was sent later.
    async fn receive(&mut self) -> Received {
        let clock = self.exchange.gateway.clock();
        if let Some(limits) = &mut self.limits {
            // A caller that took its time is not the engine's silence.
            limits.since = clock.now();
        }
        loop {
            let limits = self.limits.as_ref();
            let due = limits.filter(|_| self.exchange.may_run_again());
            let Some(due) = due.map(|limits| clock.instant(limits.due(clock.now()))) else {
                return self.receive_frame().await;
            };
            if let Ok(received) = timeout_at(due, self.receive_frame()).await {
                return received;
            }
            let limits = self.limits.as_ref();
            if let Some(why) = limits.and_then(|limits| self.exchange.gives_up(limits)) {
                return Received::Silent(why);
            }
        }
    }

    /// Another part of the answer is awaited from now on.
    fn await_part(&mut self, part: AwaitedPart) {
        self.awaited = part;
        // Its connection has carried an answer, so that only the engine's news cast doubt on it.
        self.exchange.held.used.set(Some(ConnectionUse::New));
        let exchange = &self.exchange;
        let now = exchange.gateway.clock().now();
        self.awaited_since = now;
        let engine = self.live.as_ref().map(|live| &live.placement.engine);
        self.limits = engine.and_then(|engine| {
            SilenceLimits::new(&exchange.gateway, &exchange.request, engine, part, now)
        });
    }

    fn give_up(&self, why: Doubt) -> AttemptEnd {
        let part = self.awaited;
        match (&self.live, &self.limits) {
            (Some(live), Some(limits)) => self.exchange.give_up(&live.placement, limits, part, why),
            _ => AttemptEnd::Silent(why),
        }
    }

    async fn receive_frame(&mut self) -> Received {
        let Some(live) = &mut self.live else {
            return Received::Broken("no engine".to_owned());
        };
        loop {
            match live.body.frame().await {
                None => return Received::End,
                Some(Err(error)) => return Received::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    live.note_heard(&self.exchange.gateway);
                    if let Ok(bytes) = frame.into_data() {
                        return Received::Bytes(bytes);
                    }
                }
            }
        }
    }

    /// Goes on at another engine after the last event that the caller has.
    async fn resume(&mut self, end: AttemptEnd) -> Result<(), RelayFault> {
        let fault = RelayFault {
            detail: end.to_string(),
        };
        self.limits = None;
        self.watch(|watched| watched.end(end.of_answer()));
        // The former run ends, with its connection, before another begins.
        let former = self.live.take().map(|live| live.placement);
        if let Some(placement) = former {
            self.exchange.note_end(&placement, &end);
        }
        if !self.exchange.may_run_again() {
            return Err(fault);
        }
        self.splitter = EventSplitter::default();
        let last_event_id = self.last_event_id.clone();
        let next = self.exchange.next_answer(last_event_id.as_deref()).await;
        match next {
            Ok(live) if live.status.is_success() => {
                self.resumed += 1;
                info!(self.exchange.gateway.log(), "stream_resumed";
                    "request" => &self.exchange.request.caller.id,
                    "engine" => %live.placement.engine, "after_event" => last_event_id);
                self.live = Some(live);
                self.await_part(AwaitedPart::FirstEvent);
                Ok(())
            }
            Ok(mut live) => {
                live.watched.end(match live.status.is_server_error() {
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

    /// The first event of an answer has come.
    fn note_first_event(&mut self) {
        if self.awaited != AwaitedPart::FirstEvent {
            return;
        }
        let gateway = &self.exchange.gateway;
        let took = gateway.clock().now().since(self.awaited_since);
        self.note_time(AwaitedPart::FirstEvent, took);
        self.await_part(AwaitedPart::Pause);
    }

    fn note_time(&self, part: AwaitedPart, took: Duration) {
        let Exchange {
            gateway, request, ..
        } = &self.exchange;
        let times = &mut gateway.state_mut().part_times;
        times.note(&request.pool, &request.route.name, part, took);
    }

    fn note_begun(&mut self) {
        self.note_first_event();
        if self.exchange.held.is_doubted.replace(false) {
            info!(self.exchange.gateway.log(), "doubted_attempt_answered";
                "request" => &self.exchange.request.caller.id, "events" => true);
        }
        let Some(live) = &mut self.live else {
            return;
        };
        live.in_flight.prompt_read();
        self.exchange.held.is_at(HeldAt::Stream);
        let elapsed_ms = self.active.elapsed_ms();
        if self.has_begun {
            let pause_ms = elapsed_ms - self.last_event_ms;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_event_ms = elapsed_ms;
        if !self.has_begun {
            self.has_begun = true;
            self.first_event_ms = Some(self.active.elapsed_ms());
            let gateway = &self.exchange.gateway;
            let seconds = self.active.elapsed_ms() as f64 / 1e3;
            gateway.metrics().first_answer_seconds.observe(seconds);
            let pool = &self.exchange.request.pool;
            gateway.note_request_start(pool, Duration::from_millis(elapsed_ms));
            gateway.note_prefill_done(&live.placement);
            count_tokens(&self.exchange, &live.placement);
        }
    }

    fn complete(&mut self) {
        let whole = AnswerEnd::Whole { is_success: true };
        self.watch(|watched| watched.end(whole));
        let Some(live) = self.live.take() else {
            return;
        };
        let gateway = Rc::clone(&self.exchange.gateway);
        let placement = live.release(&gateway);
        self.exchange.note_success(&placement);
        gateway.note_successful_run(&self.exchange.request);
        self.active.end("answered");
        if self.resumed == 0 {
            let pause = Duration::from_millis(self.longest_pause_ms);
            self.note_time(AwaitedPart::Pause, pause);
        }
        let Some(left_out) = gateway.sampler().admit(gateway.clock().now()) else {
            return;
        };
        let request = &self.exchange.request;
        let fetch = placement.fetch.as_ref();
        info!(gateway.log(), "stream_answered"; "request" => &request.caller.id,
            "route" => &request.route.name, "engine" => %placement.engine,
            "weights" => placement.weights, "cached" => placement.cached_tokens,
            "fetched" => fetch.map(|fetch| fetch.tokens),
            "fetched_from" => fetch.map(|fetch| fetch.holder.to_string()),
            "prefix" => placement.keys.shared().last().map(|(key, _)| format!("{:016x}", key.0)),
            "saved" => placement.save_to.is_some(), "unread" => placement.unread_tokens,
            "expected_tokens" => request.caller.prompt.as_ref().and_then(|prompt| prompt.expected_tokens),
            "head_ms" => self.head_ms, "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause_ms, "cost" => %placement.cost,
            "arrivals" => self.exchange.arrivals, "resumed" => self.resumed,
            "configuration" => request.configuration_version,
            "list" => %self.exchange.held.list.get(),
            "after_ms" => self.active.elapsed_ms(), "left_out" => left_out);
    }

    fn fail(&mut self, end: StreamEnd, fault: RelayFault) -> RelayFault {
        if end == StreamEnd::Broken {
            self.watch(|watched| watched.end(AnswerEnd::Failed));
        }
        self.live = None;
        self.active.end_unserved(&format!("stream_{end}"));
        warn!(self.exchange.gateway.log(), "stream_failed";
            "request" => &self.exchange.request.caller.id, "end" => %end,
            "detail" => &fault.detail, "arrivals" => self.exchange.arrivals,
            "resumed" => self.resumed, "last_event" => self.last_event_id.clone(),
            "after_ms" => self.active.elapsed_ms());
        fault
    }
}

fn count_tokens(exchange: &Exchange, placement: &Placement) {
    let tokens = &exchange.gateway.metrics().prompt_tokens;
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
