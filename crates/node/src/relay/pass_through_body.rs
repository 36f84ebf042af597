//! Answers of plain services that are passed on as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use ryerouter_core::dispatch::{AttemptOutcome, FinalOutcome, Refusal, RefusalReason, RunState};

use crate::engine::EngineBody;

use super::{AttemptGuard, RelayFault, RequestExchange};

/// The body of a plain service's answer, passed on as it arrives.
///
/// Its bytes carry no index, so when it breaks off there is nothing to resume: the caller's
/// connection is cut, which tells it that the answer is not whole.
pub(crate) struct PassThroughBody {
    exchange: RequestExchange,
    first: Option<Bytes>,
    body: EngineBody,
    guard: Option<AttemptGuard>,
}

impl PassThroughBody {
    pub(crate) fn new(
        exchange: RequestExchange,
        first: Option<Bytes>,
        body: EngineBody,
        guard: AttemptGuard,
    ) -> Self {
        Self {
            exchange,
            first,
            body,
            guard: Some(guard),
        }
    }

    fn complete(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.exchange.report_completed(guard, None);
        }
    }

    fn break_off(&mut self, fault: &RelayFault) {
        let Some(guard) = self.guard.take() else {
            return;
        };
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
        match std::task::ready!(this.body.poll_data(context)) {
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(source)) => {
                let fault = RelayFault::from(source);
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
