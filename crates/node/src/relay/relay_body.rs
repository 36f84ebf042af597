//! The body of a streamed answer.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame};
use ryerouter_core::dispatch::{AttemptOutcome, EngineObservation, FinalOutcome};

use crate::engine::EngineBody;
use crate::refusal::error_event;
use crate::traffic::RequestCommand;

use super::{
    AttemptGuard, EventStream, NextAnswer, OpenAnswer, RelayFault, RequestExchange, SilenceTimer,
    StreamProgress, Usage,
};

/// Longest time to wait for the end of an answer whose end mark has arrived.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a streamed answer.
///
/// It runs in the task of the caller's connection and reads the back end's connection itself, only
/// when the caller takes bytes: a slow caller holds back its engine and nothing piles up here.
/// When the engine's stream breaks off, it makes the next attempts the dispatcher commands and
/// reads on where the stream broke.
pub(crate) struct RelayBody {
    state: RelayState,
    stream: EventStream,
    output: VecDeque<Bytes>,
    silence: SilenceTimer,
}

enum RelayState {
    Reading(Box<Reading>),
    Reconnecting(BoxFuture<'static, Reconnected>),
    Ended(
        #[expect(dead_code, reason = "its session ends when the caller has the answer")]
        Option<Box<RequestExchange>>,
    ),
}

struct Reading {
    exchange: RequestExchange,
    body: EngineBody,
    guard: Option<AttemptGuard>,
    observation: Option<EngineObservation>,
}

struct Reconnected {
    exchange: RequestExchange,
    next: NextAnswer,
}

impl RelayBody {
    pub(crate) fn new(exchange: RequestExchange, open: OpenAnswer) -> Self {
        let settings = &exchange.worker.context.settings;
        let stream = EventStream::new(settings.max_event_bytes);
        let silence = SilenceTimer::new(settings.engine_idle_timeout);
        Self {
            state: RelayState::Reading(Box::new(Reading::new(exchange, open))),
            stream,
            output: VecDeque::new(),
            silence,
        }
    }

    fn poll_reading(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let RelayState::Reading(reading) = &mut self.state else {
            return Poll::Ready(());
        };
        if let Poll::Ready(command) = reading.exchange.session.poll_command(context) {
            self.obey(command);
            return Poll::Ready(());
        }
        match reading.body.poll_data(context) {
            Poll::Ready(Some(Ok(data))) => {
                self.silence.heard();
                self.take(data);
                Poll::Ready(())
            }
            Poll::Ready(Some(Err(source))) => {
                self.break_off(source.into());
                Poll::Ready(())
            }
            Poll::Ready(None) => {
                self.break_off(RelayFault::Truncated);
                Poll::Ready(())
            }
            Poll::Pending => {
                std::task::ready!(self.silence.poll(context));
                self.break_off(RelayFault::Silent);
                Poll::Ready(())
            }
        }
    }

    fn take(&mut self, data: Bytes) {
        let before = self.stream.delivered_chunks();
        let progress = self.stream.push(data, &mut self.output);
        let delivered = self.stream.delivered_chunks();
        if let RelayState::Reading(reading) = &mut self.state {
            reading.note_delivered(before, delivered);
        }
        match progress {
            Ok(StreamProgress::Open) => {}
            Ok(StreamProgress::Done(usage)) => self.complete(usage),
            Err(fault) => self.break_off(fault),
        }
    }

    fn take_reading(&mut self) -> Option<Box<Reading>> {
        match std::mem::replace(&mut self.state, RelayState::Ended(None)) {
            RelayState::Reading(reading) => Some(reading),
            other => {
                self.state = other;
                None
            }
        }
    }

    fn complete(&mut self, usage: Usage) {
        let Some(mut reading) = self.take_reading() else {
            return;
        };
        let observation = reading.observation.map(|observation| EngineObservation {
            cached_tokens: Some(usage.cached_tokens()),
            prompt_tokens: Some(usage.prompt_tokens),
            ..observation
        });
        if let Some(guard) = reading.guard.take() {
            reading.exchange.report_completed(guard, observation);
        }
        let metrics = &reading.exchange.worker.context.metrics;
        metrics.stream_ended(self.stream.delivered_chunks(), self.stream.duplicates());
        read_to_end(reading.body);
        self.state = RelayState::Ended(Some(Box::new(reading.exchange)));
    }

    /// The stream broke off: asks the dispatcher how to go on.
    fn break_off(&mut self, fault: RelayFault) {
        let Some(mut reading) = self.take_reading() else {
            return;
        };
        let metrics = &reading.exchange.worker.context.metrics;
        metrics
            .stream_faults
            .with_label_values(&[fault.label()])
            .inc();
        let outcome = AttemptOutcome::Broken {
            chunks: self.stream.delivered_chunks(),
        };
        if let Some(guard) = reading.guard.take() {
            if matches!(fault, RelayFault::Silent) {
                let link = &reading.exchange.worker.link;
                link.fell_silent(guard.target().address, self.silence.heard_at());
            }
            reading
                .exchange
                .report_broken(guard, outcome, reading.observation, fault.to_string());
        }
        // Dropping the unread body closes its connection.
        drop(reading.body);
        self.reconnect(reading.exchange);
    }

    fn obey(&mut self, command: RequestCommand) {
        let Some(reading) = self.take_reading() else {
            return;
        };
        let Reading {
            mut exchange,
            body,
            guard,
            ..
        } = *reading;
        drop(body);
        match command {
            RequestCommand::Finish(outcome) => {
                drop(guard);
                self.finish(exchange, outcome);
            }
            RequestCommand::Cancel(attempt) => {
                drop(guard);
                exchange.report_cancelled(attempt);
                self.reconnect(exchange);
            }
            // Starts follow an end of the attempt before; there was none.
            RequestCommand::Start(_) => self.reconnect(exchange),
        }
    }

    fn reconnect(&mut self, mut exchange: RequestExchange) {
        let settings = &exchange.worker.context.settings;
        self.stream.restart(settings.max_event_bytes);
        let text = self.stream.text().as_json_text().map(str::to_owned);
        let future = async move {
            let next = exchange.next_answer(text.as_deref()).await;
            Reconnected { exchange, next }
        };
        self.state = RelayState::Reconnecting(future.boxed());
    }

    fn poll_reconnecting(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let RelayState::Reconnecting(future) = &mut self.state else {
            return Poll::Ready(());
        };
        let Reconnected { exchange, next } = std::task::ready!(future.as_mut().poll(context));
        match next {
            NextAnswer::Open(open) => {
                self.silence.heard();
                self.state = RelayState::Reading(Box::new(Reading::new(exchange, *open)));
            }
            NextAnswer::Finished { outcome, .. } => self.finish(exchange, outcome),
        }
        Poll::Ready(())
    }

    /// Tells the caller in its stream that the answer is not whole; there is no end mark then.
    fn finish(&mut self, exchange: RequestExchange, outcome: FinalOutcome) {
        if let FinalOutcome::Refused(refusal) = outcome {
            self.output.push_back(error_event(&refusal));
        }
        let metrics = &exchange.worker.context.metrics;
        metrics.stream_ended(self.stream.delivered_chunks(), self.stream.duplicates());
        self.state = RelayState::Ended(Some(Box::new(exchange)));
    }
}

impl Reading {
    fn new(exchange: RequestExchange, open: OpenAnswer) -> Self {
        Self {
            exchange,
            body: open.answer.body,
            guard: Some(open.guard),
            observation: open.answer.head.observation,
        }
    }

    fn note_delivered(&mut self, before: u64, delivered: u64) {
        if delivered == before {
            return;
        }
        self.exchange.session.chunks_delivered(delivered);
        if before == 0
            && let Some(guard) = &self.guard
        {
            self.exchange.session.first_token(guard.target().attempt);
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        let this = self.get_mut();
        loop {
            if let Some(bytes) = this.output.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            match &this.state {
                RelayState::Reading(_) => std::task::ready!(this.poll_reading(context)),
                RelayState::Reconnecting(_) => std::task::ready!(this.poll_reconnecting(context)),
                RelayState::Ended(_) => return Poll::Ready(None),
            }
        }
    }
}

/// Reads an answer's last bytes in the background, so that its connection can be used again
/// without keeping the caller waiting for them.
fn read_to_end(mut body: EngineBody) {
    tokio::spawn(async move {
        let end = std::future::poll_fn(|context| body.poll_data(context));
        // Anything but the end closes the connection.
        let _ = tokio::time::timeout(END_TIMEOUT, end).await;
    });
}
