//! Answers of plain services that are passed on as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use ryerouter_core::dispatch::{AttemptOutcome, FinalOutcome, Refusal, RefusalReason, RunState};

use crate::engine::EngineBody;

use super::{AttemptGuard, RelayFault, RequestExchange, SilenceTimer};

/// The body of a plain service's answer, passed on as it arrives.
///
/// Its bytes carry no index, so when it breaks off there is nothing to resume: the caller's
/// connection is cut, which tells it that the answer is not whole. So it is when the back end has
/// been silent for the longest silence within an answer: its connection may be silent for good.
pub(crate) struct PassThroughBody {
    exchange: RequestExchange,
    first: Option<Bytes>,
    body: EngineBody,
    guard: Option<AttemptGuard>,
    silence: SilenceTimer,
    /// Whether the back end is being waited for: while the caller takes nothing, it is not silent.
    is_waiting: bool,
}

impl PassThroughBody {
    pub(crate) fn new(
        exchange: RequestExchange,
        first: Option<Bytes>,
        body: EngineBody,
        guard: AttemptGuard,
    ) -> Self {
        let limit = exchange.worker.context.settings.engine_idle_timeout;
        Self {
            exchange,
            first,
            body,
            guard: Some(guard),
            silence: SilenceTimer::new(limit),
            is_waiting: false,
        }
    }

    fn complete(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.exchange.report_completed(guard, None);
        }
    }

    /// The next piece of the answer, or that it has been waited for too long.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayFault>>> {
        if !self.is_waiting {
            self.silence.heard();
            self.is_waiting = true;
        }
        let Poll::Ready(next) = self.body.poll_data(context) else {
            std::task::ready!(self.silence.poll(context));
            return Poll::Ready(Some(Err(RelayFault::Silent)));
        };
        self.is_waiting = false;
        Poll::Ready(next.map(|data| data.map_err(RelayFault::from)))
    }

    fn break_off(&mut self, fault: &RelayFault) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        if matches!(fault, RelayFault::Silent) {
            let link = &self.exchange.worker.link;
            link.fell_silent(guard.target().address, self.silence.heard_at());
        }
        let outcome = AttemptOutcome::Broken { chunks: 1 };
        self.exchange
            .report_broken(guard, outcome, None, fault.to_string());
        self.exchange.session.abandon();
        self.exchange
            .session
            .set_outcome(FinalOutcome::Refused(Refusal {
                reason: RefusalReason::AttemptsExhausted,
                run_state: RunState::Ran,
                retry_after: None,
            }));
    }
}

impl Body for PassThroughBody {
    type Data = Bytes;
    type Error = RelayFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayFault>>> {
        let this = self.get_mut();
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match std::task::ready!(this.poll_next(context)) {
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(fault)) => {
                this.break_off(&fault);
                Poll::Ready(Some(Err(fault)))
            }
            None => {
                this.complete();
                Poll::Ready(None)
            }
        }
    }
}
