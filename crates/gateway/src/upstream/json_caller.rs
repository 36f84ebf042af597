//! Short calls with JSON bodies.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use slog::Logger;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::call_log::CallLog;
use super::called_addresses::CalledAddresses;
use super::exchange::{ExchangeFailure, exchange};
use super::sent_call::SentCall;
use super::unended_call::UnendedCall;
use super::{CallAnswer, CallTerms, ConnectSettings, Connection, Silence};
use crate::clock::Clock;
use crate::telemetry::Metrics;

/// Why a call has no answer; it may have been carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{detail}")]
pub struct CallError {
    /// What the transport said.
    pub detail: String,
}

/// Makes short calls with JSON bodies, on kept connections where possible and allowed.
///
/// An open connection may fall silent for good without a reset while new ones work. So a call on a
/// kept connection must be answered within what was observed at its address
/// ([`super::AnswerTimes`]); otherwise the connection counts as silent, a call that may be repeated
/// is sent again on a new connection as long as it still has time to be held, and another one ends.
/// Once a new connection is answered while the old one is not, other calls under way on connections
/// that were not heard from since end as well. If the call was one that is always answered, idle
/// connections to all addresses are distrusted too ([`Silence`]). A call on a new connection has its
/// whole limit.
#[derive(Debug)]
pub struct JsonCaller {
    settings: ConnectSettings,
    known: Rc<CalledAddresses>,
}

type Answer = Result<CallAnswer, CallError>;

impl JsonCaller {
    /// Has no connections yet, shares nothing and tells nobody.
    pub fn new(settings: ConnectSettings, clock: Clock) -> Self {
        Self::build(settings, clock, Rc::default(), CallLog::quiet())
    }

    /// Has no connections yet; shares what is known of silent connections.
    pub fn sharing(
        settings: ConnectSettings,
        clock: Clock,
        silence: Rc<Silence>,
        log: Logger,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self::build(settings, clock, silence, CallLog::new(log, metrics))
    }

    fn build(settings: ConnectSettings, clock: Clock, silence: Rc<Silence>, log: CallLog) -> Self {
        Self {
            settings,
            known: Rc::new(CalledAddresses::new(clock, silence, log)),
        }
    }

    /// Makes a call and reads its whole answer, within the limit of its terms.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        terms: CallTerms,
    ) -> Answer {
        set_headers(address, &mut request)?;
        let unended = UnendedCall::new(Rc::clone(&self.known));
        let answer = self.call_on_any(address, request, terms, &unended);
        let answer = timeout(terms.limit, answer).await;
        let last = unended.end();
        answer.unwrap_or_else(|_| {
            if let Some(call) = last {
                self.known.unanswered(&call);
            }
            Err(failure("no answer in time"))
        })
    }

    async fn call_on_any(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        terms: CallTerms,
        unended: &UnendedCall,
    ) -> Answer {
        if terms.needs_new_connection {
            return self.call_on_new(address, request, terms, unended).await;
        }
        while let Some(connection) = self.known.take_idle(address) {
            match self.call_on_kept(connection, request, terms, unended).await {
                Ok(answer) => return answer,
                Err(unsent) => request = *unsent,
            }
        }
        self.call_on_new(address, request, terms, unended).await
    }

    async fn call_on_new(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        terms: CallTerms,
        unended: &UnendedCall,
    ) -> Answer {
        let clock = self.known.clock;
        let connection = Connection::open(address, &self.settings, clock).await;
        let connection = connection.map_err(failure)?;
        let call = self.note_sent(&connection, terms, false, unended);
        let shown_silent = self.known.shown_silent(&call);
        tokio::select! {
            answer = exchange(connection, request, terms.max_bytes, clock) => match answer {
                Ok(answer) => Ok(self.known.answered(&call, answer)),
                Err(error) => Err(failure(error.detail())),
            },
            () = shown_silent => Err(self.end_by_silence(&call)),
        }
    }

    /// Gives the request back if nothing of it was written.
    async fn call_on_kept(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        terms: CallTerms,
        unended: &UnendedCall,
    ) -> Result<Answer, Box<Request<Full<Bytes>>>> {
        let known = &self.known;
        let call = self.note_sent(&connection, terms, true, unended);
        let patience = known.patience(&call);
        let spare = call.is_repeated_after(patience).then(|| request.clone());
        let mut first = exchange(connection, request, terms.max_bytes, known.clock).boxed_local();
        tokio::select! {
            answer = &mut first => return match answer {
                Ok(answer) => Ok(Ok(known.answered(&call, answer))),
                Err(ExchangeFailure::Unsent(unsent, _)) => Err(unsent),
                Err(error) => Ok(Err(failure(error.detail()))),
            },
            () = known.shown_silent(&call) => return Ok(Err(self.end_by_silence(&call))),
            () = known.overdue(&call, patience) => known.suspect(&call, patience),
        }
        let Some(request) = spare else {
            spawn_local(Rc::clone(known).linger(call, first));
            return Ok(Err(failure("connection silent, call not repeated")));
        };
        // Whichever answers first: a slow server answers the first, which was sent earlier.
        let mut second = pin!(self.call_on_new(call.address, request, terms, unended));
        tokio::select! {
            answer = &mut first => match answer {
                Ok(answer) => {
                    known.withdraw(&call, answer.taken);
                    Ok(Ok(known.answered(&call, answer)))
                }
                Err(_) => Ok(second.await),
            },
            answer = &mut second => match answer {
                Ok(answer) => {
                    spawn_local(Rc::clone(known).linger(call, first));
                    Ok(Ok(answer))
                }
                // No new connection works either, so the old one is not the cause.
                Err(_) => Ok(first.await.map_or_else(
                    |error| Err(failure(error.detail())),
                    |answer| Ok(known.answered(&call, answer)),
                )),
            },
        }
    }

    fn note_sent(
        &self,
        connection: &Connection,
        terms: CallTerms,
        is_kept: bool,
        unended: &UnendedCall,
    ) -> SentCall {
        let now = self.known.clock.now();
        let call = SentCall::new(connection, terms, is_kept, now);
        self.known.log.sent(&call);
        unended.note_sent(call.clone());
        call
    }

    fn end_by_silence(&self, call: &SentCall) -> CallError {
        let now = self.known.clock.now();
        self.known.log.ended_by_silence(call, now);
        failure("connection silent, as a newer one has shown")
    }
}

fn set_headers(address: SocketAddr, request: &mut Request<Full<Bytes>>) -> Result<(), CallError> {
    let host = HeaderValue::from_str(&address.to_string()).map_err(failure)?;
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(())
}

fn failure(error: impl ToString) -> CallError {
    CallError {
        detail: error.to_string(),
    }
}
