//! A tiny engine, scripted by tests.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What an engine answers an order: a status and a body, or nothing.
pub type OrderReply = Option<(u16, &'static str)>;

/// A tiny engine: reports weights version 1 and answers every order alike.
pub struct ScriptedEngine {
    pub address: SocketAddr,
    /// Bodies of the orders it got.
    pub orders: mpsc::UnboundedReceiver<String>,
}

impl ScriptedEngine {
    pub async fn start(reply: OrderReply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, orders) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, reply, sender.clone()));
            }
        });
        Self { address, orders }
    }
}

const LOAD: &str = r#"{"sequence":1,"incarnation":7,"weights_version":1,"running":0,"waiting":0,"state":"active"}"#;

/// Answers one request and closes.
async fn serve(mut stream: TcpStream, reply: OrderReply, orders: mpsc::UnboundedSender<String>) {
    let Some((head, body)) = read_request(&mut stream).await else {
        return;
    };
    let answer = if head.starts_with("GET /v1/load ") {
        Some((200, LOAD))
    } else {
        assert!(head.starts_with("POST /v1/orders "), "{head}");
        let _ = orders.send(body);
        reply
    };
    if let Some((status, body)) = answer {
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8(bytes.clone()).unwrap();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        if body.len() >= content_length(head) {
            return Some((head.to_owned(), body.to_owned()));
        }
    }
}

fn content_length(head: &str) -> usize {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.map_or(0, |(_, length)| length.parse().unwrap())
}
