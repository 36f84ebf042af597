//! One connection that asks for one stream after the other.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use memchr::memmem;
use ryerouter_wire::engine_headers;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::load_result::LoadResult;
use super::overhead_node::API_KEY;
use super::paced_engine::SENT_AT;

/// One connection that asks for one stream after the other.
pub struct StreamClient {
    target: SocketAddr,
    origin: Instant,
    body: Bytes,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl StreamClient {
    /// A client of the back end or node at `target`; `number` makes its prompt its own.
    pub fn new(target: SocketAddr, origin: Instant, number: usize) -> Self {
        let body = format!(
            r#"{{"model":"model","stream":true,"max_tokens":64,"messages":[{{"role":"user","content":"stream {number}"}}]}}"#
        );
        Self {
            target,
            origin,
            body: Bytes::from(body),
            connection: None,
        }
    }

    /// Asks for streams until `until`, and notes what it measures from `from` on.
    pub async fn run(mut self, from: Instant, until: Instant) -> LoadResult {
        let mut result = LoadResult::default();
        while Instant::now() < until {
            if self.ask(from, until, &mut result).await.is_none() {
                self.connection = None;
                result.failures += 1;
            }
        }
        result
    }

    /// Opens a stream and gives its body after the first chunk.
    pub async fn open(&mut self) -> Option<Incoming> {
        let mut body = self.send().await?.into_body();
        body.frame().await?.ok()?;
        Some(body)
    }

    async fn ask(&mut self, from: Instant, until: Instant, result: &mut LoadResult) -> Option<()> {
        let started = Instant::now();
        let mut body = self.send().await?.into_body();
        let mut first = true;
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            let now = Instant::now();
            if now < from || now > until {
                first = false;
                continue;
            }
            if first {
                note(
                    &mut result.first_chunk,
                    now.duration_since(started).as_micros(),
                );
                first = false;
            }
            if let Some(data) = frame.data_ref() {
                self.note_chunks(data, now, result);
            }
        }
        result.answers += 1;
        Some(())
    }

    fn note_chunks(&self, data: &[u8], now: Instant, result: &mut LoadResult) {
        let arrived_at = now.duration_since(self.origin).as_micros();
        for position in memmem::find_iter(data, SENT_AT) {
            result.chunks += 1;
            if let Some(sent_at) = leading_number(&data[position + SENT_AT.len()..]) {
                note(&mut result.transit, arrived_at.saturating_sub(sent_at));
            }
        }
    }

    async fn send(&mut self) -> Option<Response<Incoming>> {
        if self.connection.is_none() {
            self.connection = Some(self.connect().await?);
        }
        let connection = self.connection.as_mut()?;
        connection.ready().await.ok()?;
        let request = Request::post("/v1/chat/completions")
            .header(HOST, self.target.to_string())
            .header(AUTHORIZATION, format!("Bearer {API_KEY}"))
            .header(CONTENT_TYPE, "application/json")
            .header(engine_headers::ATTEMPT_ID, "1")
            .body(Full::new(self.body.clone()))
            .ok()?;
        let answer = connection.send_request(request).await.ok()?;
        (answer.status() == StatusCode::OK).then_some(answer)
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }
}

fn note(histogram: &mut hdrhistogram::Histogram<u64>, micros: u128) {
    let noted = histogram.record(micros as u64);
    noted.expect("the histogram grows as needed");
}

fn leading_number(text: &[u8]) -> Option<u128> {
    let digits = text.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&text[..digits]).ok()?.parse().ok()
}
