//! Engines that share one script and are written byte by byte, so that an answer may stop anywhere.
#![allow(dead_code, reason = "each test file uses part of it")]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// What follows the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// The next request on the same connection.
    Next,
    /// The connection is closed.
    Close,
    /// Nothing, until the peer closes the connection.
    Silence,
    /// The last bytes again and again, until the peer closes the connection.
    Repeat,
}

/// What is done with one request: these bytes, with the request's id for `ID`, and what follows.
pub type Act = (&'static str, After);

/// An answer that is whole.
pub const WHOLE: Act = (
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok",
    After::Next,
);
/// An answer of which the last byte is missing.
pub const PART: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 3\r\n\r\nok";
/// A refusal that says that the request has not run.
pub const NO_ROOM: Act = (
    "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-signed: 1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    After::Next,
);
/// The head of a stream.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The head of a stream and its first event.
pub const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n";

/// Engines at several addresses that take the acts of one script in turn, then answer 200.
#[derive(Default)]
pub struct RawEngines {
    script: RefCell<VecDeque<Act>>,
    arrivals: Cell<usize>,
    abandoned: Cell<usize>,
    changed: Notify,
}

impl RawEngines {
    /// Starts so many engines on free ports.
    pub async fn start<const N: usize>(script: &[Act]) -> (Rc<Self>, [SocketAddr; N]) {
        let engines = Rc::new(Self {
            script: RefCell::new(script.iter().copied().collect()),
            ..Self::default()
        });
        let mut addresses = Vec::new();
        for _ in 0..N {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            addresses.push(listener.local_addr().expect("address"));
            spawn_local(accept(Rc::clone(&engines), listener));
        }
        (engines, addresses.try_into().expect("as many as asked"))
    }

    /// Requests that have arrived whole.
    pub fn arrivals(&self) -> usize {
        self.arrivals.get()
    }

    /// Waits until so many requests have arrived.
    pub async fn until_arrived(&self, count: usize) {
        while self.arrivals.get() < count {
            self.changed.notified().await;
        }
    }

    /// Waits until so many connections were closed by their peer in the middle of a request.
    pub async fn until_abandoned(&self, count: usize) {
        while self.abandoned.get() < count {
            self.changed.notified().await;
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(id) = read_request(&mut stream).await {
            self.arrivals.set(self.arrivals.get() + 1);
            self.changed.notify_waiters();
            let act = self.script.borrow_mut().pop_front();
            let (text, after) = act.unwrap_or(WHOLE);
            let bytes = text.replace("ID", &id);
            // A peer that has left shows in the next read.
            let _ = stream.write_all(bytes.as_bytes()).await;
            match after {
                After::Next => {}
                After::Close => return,
                After::Silence => {
                    let mut byte = [0; 1];
                    let _ = stream.read(&mut byte).await;
                    return self.note_abandoned();
                }
                After::Repeat => {
                    let event = b"f\r\nid: 2\ndata: b\n\n\r\n".repeat(64);
                    while stream.write_all(&event).await.is_ok() {}
                    return self.note_abandoned();
                }
            }
        }
    }

    fn note_abandoned(&self) {
        self.abandoned.set(self.abandoned.get() + 1);
        self.changed.notify_waiters();
    }
}

async fn accept(engines: Rc<RawEngines>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let engines = Rc::clone(&engines);
        spawn_local(async move { engines.serve(stream).await });
    }
}

/// Reads a whole request with a body of known length, and tells its id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).ok()?;
    let field = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        let value = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?.1;
        Some(value.trim().to_owned())
    };
    let length: usize = field("content-length").map_or(0, |text| text.parse().expect("length"));
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(field("x-id").unwrap_or_default())
}
