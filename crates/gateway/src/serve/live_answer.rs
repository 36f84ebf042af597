//! An answer whose head has been accepted.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use super::answer_reporter::AnswerReporter;
use super::forwarded_headers::keep_forwarded;
use crate::engines::InFlight;
use crate::gateway::Gateway;
use crate::placement::Placement;
use crate::release::AnswerEnd;
use crate::request::AnswerFacts;
use crate::upstream::Connection;

/// Longest answer that is not a stream.
const MOST_WHOLE_BYTES: usize = 8 * 1_024 * 1_024;

/// An answer of an engine whose head has been accepted.
#[derive(Debug)]
pub(super) struct LiveAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) facts: AnswerFacts,
    pub(super) body: Incoming,
    pub(super) placement: Placement,
    pub(super) in_flight: InFlight,
    /// How it ends is told.
    pub(super) watched: AnswerReporter,
    /// From the attempt's begin to the head.
    pub(super) head_after: Duration,
    connection: Connection,
    keeps_connection: bool,
}

impl LiveAnswer {
    pub(super) fn new(
        answer: crate::upstream::UpstreamAnswer,
        facts: AnswerFacts,
        placement: Placement,
        in_flight: InFlight,
        watched: AnswerReporter,
        head_after: Duration,
    ) -> Self {
        let mut headers = answer.head.headers;
        let keeps_connection = !closes(&headers);
        keep_forwarded(&mut headers);
        Self {
            status: answer.head.status,
            headers,
            facts,
            body: answer.body,
            placement,
            in_flight,
            watched,
            head_after,
            connection: answer.connection,
            keeps_connection,
        }
    }

    /// Reads the rest of an answer that is not a stream, and keeps the connection.
    pub(super) async fn read_whole(mut self, gateway: &Gateway) -> Result<WholeAnswer, String> {
        let body = Limited::new(&mut self.body, MOST_WHOLE_BYTES);
        let collected = body.collect().await;
        self.watched.end(match &collected {
            Ok(_) if !self.status.is_server_error() => AnswerEnd::Whole {
                is_success: self.status.is_success(),
            },
            _ => AnswerEnd::Failed,
        });
        let bytes = collected.map_err(|error| error.to_string())?.to_bytes();
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        let placement = self.release(gateway);
        Ok(WholeAnswer {
            status,
            headers,
            bytes,
            placement,
        })
    }

    /// A part of the answer has come.
    pub(super) fn note_heard(&self, gateway: &Gateway) {
        gateway.upstream().note_heard(&self.connection);
    }

    /// Keeps the connection of an answer that was read to its end.
    pub(super) fn release(self, gateway: &Gateway) -> Placement {
        if self.keeps_connection && gateway.is_same_incarnation(&self.placement) {
            let engine = &self.placement.engine;
            gateway
                .upstream()
                .keep(engine, self.connection, self.facts.idle_timeout);
        }
        self.placement
    }
}

/// An answer that was read to its end.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) bytes: Bytes,
    pub(super) placement: Placement,
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.to_ascii_lowercase().contains("close"))
}
