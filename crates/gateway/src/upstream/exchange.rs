//! One call on one connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;

use super::final_status::check_final;
use super::{CallAnswer, Connection};
use crate::clock::Clock;

/// An answer that was read to its end.
#[derive(Debug)]
pub(super) struct Exchanged {
    pub(super) answer: CallAnswer,
    /// Time until its head came.
    pub(super) taken: Duration,
    pub(super) connection: Connection,
}

/// Why a call on one connection has no answer.
#[derive(Debug)]
pub(super) enum ExchangeFailure {
    /// Nothing was written; the call may be sent on another connection.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// It may have been carried out.
    Broken(String),
}

impl ExchangeFailure {
    pub(super) fn detail(self) -> String {
        match self {
            Self::Unsent(_, detail) | Self::Broken(detail) => detail,
        }
    }
}

/// Sends a call and reads its whole answer, whose body has at most `max_bytes`.
pub(super) async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    clock: Clock,
) -> Result<Exchanged, ExchangeFailure> {
    let sent_at = clock.now();
    let sent = connection.send(request).await;
    let answer = sent.map_err(|mut error| {
        let detail = connection.failure_detail(error.error());
        match error.take_message() {
            Some(unsent) => ExchangeFailure::Unsent(Box::new(unsent), detail),
            None => ExchangeFailure::Broken(detail),
        }
    })?;
    let heard_at = clock.now();
    connection.heard_at.set(heard_at);
    check_final(answer.status()).map_err(ExchangeFailure::Broken)?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|error| ExchangeFailure::Broken(error.to_string()))?;
    connection.heard_at.set(clock.now());
    Ok(Exchanged {
        answer: CallAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        },
        taken: heard_at.since(sent_at),
        connection,
    })
}
