//! A back end that emits chunks at a steady pace and computes nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use ryerouter_wire::engine_headers;
use tokio::time::{Instant, Interval, MissedTickBehavior};

use super::overhead_error::OverheadError;
use crate::standins::http::{Handler, HttpServer, Reply, body_from_stream};

/// Name before the time at which a chunk was sent, in microseconds since the run's origin.
pub const SENT_AT: &[u8] = b"\"sent_at\":";

/// Back ends that emit chunks at a steady pace and compute nothing.
pub struct PacedEngines {
    servers: Vec<HttpServer>,
    pace: Arc<Pace>,
}

/// The pace of all of them.
#[derive(Debug)]
struct Pace {
    origin: Instant,
    chunks: AtomicU64,
    interval_micros: AtomicU64,
}

struct PacedHandler {
    pace: Arc<Pace>,
}

/// A stream under way.
struct PacedStream {
    pace: Arc<Pace>,
    interval: Interval,
    index: u64,
    chunks: u64,
    ended: bool,
}

impl PacedEngines {
    /// Starts `count` of them.
    ///
    /// # Errors
    ///
    /// A port cannot be bound.
    pub async fn start(count: usize, origin: Instant) -> Result<Self, OverheadError> {
        let pace = Arc::new(Pace {
            origin,
            chunks: AtomicU64::new(1),
            interval_micros: AtomicU64::new(1_000),
        });
        let mut servers = Vec::new();
        for _ in 0..count {
            let handler = PacedHandler {
                pace: Arc::clone(&pace),
            };
            servers.push(HttpServer::start(Arc::new(handler)).await?);
        }
        Ok(Self { servers, pace })
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(HttpServer::address).collect()
    }

    /// Sets chunks of each stream and the time between them, for streams that start later.
    pub fn set_pace(&self, chunks: u64, interval: Duration) {
        self.pace.chunks.store(chunks, Ordering::Relaxed);
        let micros = interval.as_micros() as u64;
        self.pace.interval_micros.store(micros, Ordering::Relaxed);
    }
}

impl PacedStream {
    fn new(pace: Arc<Pace>) -> Self {
        let micros = pace.interval_micros.load(Ordering::Relaxed).max(1);
        let mut interval = tokio::time::interval(Duration::from_micros(micros));
        // A stream that was held up goes on at its pace and does not catch up in a burst.
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            chunks: pace.chunks.load(Ordering::Relaxed),
            pace,
            interval,
            index: 0,
            ended: false,
        }
    }

    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        self.interval.tick().await;
        let index = self.index;
        self.index += 1;
        let sent_at = self.pace.origin.elapsed().as_micros();
        if index < self.chunks {
            return Some(Bytes::from(format!(
                "id: {index}\ndata: {{\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"model\",\"sent_at\":{sent_at},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\" token\"}},\"finish_reason\":null}}]}}\n\n"
            )));
        }
        self.ended = true;
        let chunks = self.chunks;
        Some(Bytes::from(format!(
            "id: {index}\ndata: {{\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"model\",\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"length\"}}],\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{chunks},\"total_tokens\":{chunks}}}}}\n\ndata: [DONE]\n\n"
        )))
    }

    fn into_stream(self) -> impl Stream<Item = Bytes> + Send {
        stream::unfold(self, |mut paced| async move {
            let bytes = paced.next().await?;
            Some((bytes, paced))
        })
    }
}

impl Handler for PacedHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let attempt = request.headers().get(engine_headers::ATTEMPT_ID).cloned();
        request.into_body().collect().await.ok()?;
        let paced = PacedStream::new(Arc::clone(&self.pace)).into_stream();
        let mut reply = Reply::new(body_from_stream(futures_util::StreamExt::map(paced, Ok)));
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        for name in [
            engine_headers::ENGINE_INCARNATION,
            engine_headers::WEIGHTS_VERSION,
        ] {
            headers.insert(name, HeaderValue::from_static("1"));
        }
        headers.insert(
            engine_headers::ENGINE_RUNNING,
            HeaderValue::from_static("0"),
        );
        headers.insert(
            engine_headers::ENGINE_WAITING,
            HeaderValue::from_static("0"),
        );
        headers.insert(
            engine_headers::ENGINE_STATE,
            HeaderValue::from_static("active"),
        );
        if let Some(attempt) = attempt {
            headers.insert(engine_headers::ATTEMPT_ID, attempt);
        }
        Some(reply)
    }
}
