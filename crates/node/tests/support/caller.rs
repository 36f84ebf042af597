//! A caller.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

use super::KEY;

/// A caller with one HTTP/1.1 connection.
pub struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: String,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl CallerAnswer {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The texts of the chunks of a streamed answer.
    pub fn texts(&self) -> Vec<String> {
        let data = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter_map(|chunk| {
                let text = &chunk["choices"][0]["delta"]["content"];
                text.as_str().map(str::to_owned)
            })
            .collect()
    }

    pub fn is_done(&self) -> bool {
        self.complete && self.body.ends_with("data: [DONE]\n\n")
    }
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a request and returns once the answer's head is there.
    pub async fn open(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<Incoming> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "node");
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {KEY}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())));
        self.sender.ready().await.unwrap();
        self.sender.send_request(request.unwrap()).await.unwrap()
    }

    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallerAnswer {
        let answer = self.open(method, path, headers, body).await;
        read(answer).await
    }

    pub async fn get(&mut self, path: &str) -> CallerAnswer {
        self.send("GET", path, &[], "").await
    }

    pub async fn chat(&mut self, headers: &[(&str, &str)], body: &str) -> CallerAnswer {
        self.send("POST", "/v1/chat/completions", headers, body)
            .await
    }
}

/// Reads an answer to its end.
pub async fn read(answer: Response<Incoming>) -> CallerAnswer {
    let (parts, mut body) = answer.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    CallerAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(bytes).unwrap(),
        complete,
    }
}
