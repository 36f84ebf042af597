//! An engine's answer whose head has been accepted.

use std::cell::Cell;
use std::error::Error as StdError;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use ryerouter_core::Timestamp;

use super::answer_reporter::AnswerReporter;
use super::attempt_error::AttemptError;
use super::collect_error::CollectError;
use super::hop_by_hop_headers::remove_hop_by_hop;
use super::sent_request::SentRequest;
use crate::engines::InFlight;
use crate::gateway::Gateway;
use crate::memory::{CollectedBytes, MAX_WHOLE_ANSWER};
use crate::permits::{Outcome, Permit};
use crate::placement::Placement;
use crate::relay::TransferMeter;
use crate::release::AnswerEnd;
use crate::request::AnswerFacts;
use crate::upstream::{Connection, is_malformed};

/// An engine's answer whose head has been accepted, and whose body is still to be read.
#[derive(Debug)]
pub(super) struct LiveAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) facts: AnswerFacts,
    pub(super) body: Incoming,
    pub(super) placement: Placement,
    pub(super) in_flight: InFlight,
    /// Reports how the answer ends.
    pub(super) reporter: AnswerReporter,
    /// Time from sending the request to the arrival of the head.
    pub(super) time_to_head: Duration,
    /// How long the engine was expected to take for prefill; `None` for requests without a prompt.
    pub(super) expected_prefill: Option<Duration>,
    /// When the engine was last heard from, on any connection.
    heard_at: Rc<Cell<Option<Timestamp>>>,
    connection: Connection,
    is_connection_reusable: bool,
    /// Whether only the end of the connection tells the end of the answer.
    pub(super) ends_by_close: bool,
    permit: Permit,
}

impl LiveAnswer {
    pub(super) fn new(
        answer: crate::upstream::UpstreamAnswer,
        facts: AnswerFacts,
        placement: Placement,
        sent_request: SentRequest,
        reporter: AnswerReporter,
        time_to_head: Duration,
    ) -> Self {
        let mut headers = answer.head.headers;
        let is_connection_reusable = !closes_connection(&headers);
        let ends_by_close = ![CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .any(|name| headers.contains_key(name));
        remove_hop_by_hop(&mut headers);
        Self {
            status: answer.head.status,
            headers,
            facts,
            body: answer.body,
            placement,
            in_flight: sent_request.in_flight,
            reporter,
            time_to_head,
            expected_prefill: sent_request.expected_prefill,
            heard_at: sent_request.heard_at,
            connection: answer.connection,
            is_connection_reusable,
            ends_by_close,
            permit: sent_request.permit,
        }
    }

    /// Reads the body of an answer that is not a stream, and keeps the connection for reuse.
    pub(super) async fn read_whole(
        mut self,
        gateway: &Gateway,
    ) -> Result<WholeAnswer, AttemptError> {
        let collected = collect(&mut self.body, gateway).await;
        self.reporter.end(match &collected {
            Ok(_) if !self.status.is_server_error() => AnswerEnd::Whole {
                is_success: self.status.is_success(),
            },
            _ => AnswerEnd::Failed,
        });
        let bytes = collected.map_err(|error| match error {
            CollectError::NoAnswer(detail) => AttemptError::NoAnswer(detail),
            CollectError::Transport(error) => self.transport_error(gateway, &error),
        })?;
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        let placement = self.release(gateway);
        Ok(WholeAnswer {
            status,
            headers,
            bytes,
            placement,
        })
    }

    /// The error when the answer could not be read to its end.
    pub(super) fn transport_error(&self, gateway: &Gateway, error: &hyper::Error) -> AttemptError {
        let detail = error.to_string();
        gateway.upstream().note_ended(&self.connection);
        if self.connection.is_tunnel_lost() {
            return AttemptError::TunnelLost(detail);
        }
        match is_malformed(error) {
            true => AttemptError::NoAnswer(detail),
            false => AttemptError::Broken(detail),
        }
    }

    /// Records on the connection that a part of the answer has arrived.
    pub(super) fn note_received(&self, gateway: &Gateway) {
        gateway.upstream().note_received(&self.connection);
        self.heard_at.set(Some(gateway.clock().now()));
        gateway.note_heard_again(&self.placement);
    }

    /// Keeps the connection for reuse, after the answer has been read to its end.
    pub(super) fn release(mut self, gateway: &Gateway) -> Placement {
        self.permit.set_outcome(Outcome::Ended);
        if self.is_connection_reusable && gateway.is_same_incarnation(&self.placement) {
            let engine = &self.placement.engine;
            gateway
                .upstream()
                .keep(engine, self.connection, self.facts.idle_timeout);
        }
        self.placement
    }
}

/// Collects a body within the memory held for callers. While there is no room, it is not read.
async fn collect(body: &mut Incoming, gateway: &Gateway) -> Result<Bytes, CollectError> {
    let announced = body.size_hint().exact().unwrap_or_default();
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > MAX_WHOLE_ANSWER {
        return Err(too_long());
    }
    let clock = gateway.clock();
    let mut body = Limited::new(body, MAX_WHOLE_ANSWER);
    let reservation = gateway.memory().reserve_whole_answer(announced).await;
    let mut collected = CollectedBytes::new(reservation);
    let mut meter = TransferMeter::of_body();
    loop {
        let since = clock.now();
        let Some(frame) = body.frame().await else {
            return Ok(collected.finish());
        };
        // Trailers are not forwarded.
        let Ok(piece) = frame.map_err(collect_error)?.into_data() else {
            continue;
        };
        meter.push(piece.len(), clock.now().since(since));
        if meter.is_overdue() {
            let detail = "body without an end".to_owned();
            return Err(CollectError::NoAnswer(detail));
        }
        collected.reserve_piece(piece.len()).await;
        collected.push(&piece);
    }
}

/// The body is limited, so that another error than one of the transport is that it is too long.
fn collect_error(error: Box<dyn StdError + Send + Sync>) -> CollectError {
    match error.downcast() {
        Ok(error) => CollectError::Transport(*error),
        Err(_) => too_long(),
    }
}

fn too_long() -> CollectError {
    CollectError::NoAnswer(format!("longer than {MAX_WHOLE_ANSWER} bytes"))
}

/// An answer that has been read to its end.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) bytes: Bytes,
    pub(super) placement: Placement,
}

/// Whether the engine closes the connection after this answer.
fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.to_ascii_lowercase().contains("close"))
}
