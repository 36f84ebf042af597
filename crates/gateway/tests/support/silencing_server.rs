//! A server whose open connections can go silent for good.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Calls to paths that begin so are held for good.
pub const HELD_PATH: &str = "/held";

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArrivedCall {
    /// Method and path.
    pub line: String,
    /// Which connection it came on, counted from 1.
    pub connection: u32,
}

/// Answers each request with 200, after a delay that the test sets. From [`Self::silence`] on, the
/// connections open at that moment take bytes and answer nothing; later ones work.
#[derive(Default)]
pub struct SilencingServer {
    /// Body of the answers.
    pub body: RefCell<String>,
    /// Time that each answer takes.
    pub delay: Cell<Duration>,
    /// It answers nothing before.
    pub stands_still_until: Cell<Option<Instant>>,
    /// Requests in the order of their arrival.
    pub arrivals: RefCell<Vec<ArrivedCall>>,
    accepted: Cell<u32>,
    /// Connections up to this one are silent.
    silent_up_to: Cell<u32>,
    changed: Notify,
}

impl SilencingServer {
    /// Starts a server on a free port.
    pub async fn start() -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let server = Rc::new(Self {
            body: RefCell::new("{}".to_owned()),
            ..Self::default()
        });
        let shared = Rc::clone(&server);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&shared);
                server.accepted.set(server.accepted.get() + 1);
                let connection = server.accepted.get();
                spawn_local(async move { server.serve(stream, connection).await });
            }
        });
        (server, address)
    }

    /// The connections open now answer nothing any more.
    pub fn silence(&self) {
        self.silent_up_to.set(self.accepted.get());
    }

    /// Connections that were opened so far.
    pub fn accepted(&self) -> u32 {
        self.accepted.get()
    }

    /// Waits until so many requests have arrived.
    pub async fn until_arrived(&self, count: usize) {
        while self.arrivals.borrow().len() < count {
            self.changed.notified().await;
        }
    }

    async fn serve(&self, mut stream: TcpStream, connection: u32) {
        while let Some(line) = read_request(&mut stream).await {
            let is_held = line.contains(HELD_PATH);
            self.arrivals
                .borrow_mut()
                .push(ArrivedCall { line, connection });
            self.changed.notify_waiters();
            if is_held || connection <= self.silent_up_to.get() {
                continue;
            }
            sleep(self.delay.get()).await;
            if let Some(until) = self.stands_still_until.get() {
                sleep_until(until).await;
            }
            if connection <= self.silent_up_to.get() {
                continue;
            }
            let body = self.body.borrow().clone();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            // A caller that has left shows in the next read.
            let _ = stream.write_all((head + &body).as_bytes()).await;
        }
    }
}

/// Method and path of the next request.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let line = head.lines().next()?;
    Some(line.trim_end_matches(" http/1.1").to_owned())
}
