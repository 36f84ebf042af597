//! Engines that answer all requests alike: with a whole answer, or with bytes without end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes that are written at a time.
const WRITE_BYTES: usize = 16_384;

/// The answer to each request.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Silence before the answer.
    pub delay: Duration,
    /// Sent first, with the request's id for `ID`.
    pub start: &'static str,
    /// Silence after the start.
    pub pause: Duration,
    /// Sent after the pause, with the request's id for `ID`.
    pub rest: &'static str,
    /// Sent again and again after that until the peer closes the connection; if empty, the next request is read.
    pub repeated: &'static str,
    /// Pause between two writes.
    pub interval: Duration,
    /// Whether each write holds the repeated bytes once only.
    pub is_slow: bool,
    /// Whether the connection is closed after the rest.
    pub closes: bool,
}

impl Script {
    /// An answer of these bytes.
    pub const fn whole(start: &'static str) -> Self {
        Self {
            delay: Duration::ZERO,
            start,
            pause: Duration::ZERO,
            rest: "",
            repeated: "",
            interval: Duration::from_millis(1),
            is_slow: false,
            closes: false,
        }
    }

    /// An answer of these bytes, and the others without end.
    pub const fn endless(start: &'static str, repeated: &'static str) -> Self {
        let mut script = Self::whole(start);
        script.repeated = repeated;
        script
    }

    /// An answer of these bytes, and a close.
    pub const fn closed(start: &'static str) -> Self {
        let mut script = Self::whole(start);
        script.closes = true;
        script
    }

    /// The same answer, sent as fast as it is taken.
    pub const fn fast(mut self) -> Self {
        self.interval = Duration::ZERO;
        self
    }

    /// The same answer, where the repeated bytes are sent once in each `interval`.
    pub const fn slow(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self.is_slow = true;
        self
    }
}

/// An engine on a free port.
pub struct EndlessEngine {
    script: Script,
    /// Bytes that were taken of each answer.
    taken: RefCell<Vec<usize>>,
    connections: Cell<usize>,
}

impl EndlessEngine {
    pub async fn start(script: Script) -> (Rc<Self>, SocketAddr) {
        let engine = Rc::new(Self {
            script,
            taken: RefCell::default(),
            connections: Cell::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let accepting = Rc::clone(&engine);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = Rc::clone(&accepting);
                engine.connections.set(engine.connections.get() + 1);
                spawn_local(async move { engine.serve(stream).await });
            }
        });
        (engine, address)
    }

    /// Number of requests that have arrived.
    pub fn tries(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Number of connections that were accepted.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Most bytes taken of one answer; some may still be in the buffers of the sockets.
    pub fn most_taken(&self) -> usize {
        self.taken.borrow().iter().copied().max().unwrap_or(0)
    }

    /// Bytes taken of all answers.
    pub fn all_taken(&self) -> usize {
        self.taken.borrow().iter().sum()
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(id) = read_request(&mut stream).await {
            let index = self.tries();
            self.taken.borrow_mut().push(0);
            let is_open = self.answer(&mut stream, index, &id).await;
            if !is_open || self.script.closes {
                return;
            }
        }
    }

    /// Returns whether the connection is still open.
    async fn answer(&self, stream: &mut TcpStream, index: usize, id: &str) -> bool {
        let script = &self.script;
        sleep(script.delay).await;
        let start = script.start.replace("ID", id);
        if !self.write(stream, index, start.as_bytes()).await {
            return false;
        }
        sleep(script.pause).await;
        let rest = script.rest.replace("ID", id);
        if !self.write(stream, index, rest.as_bytes()).await {
            return false;
        }
        if script.repeated.is_empty() {
            return true;
        }
        let times = match script.is_slow {
            true => 1,
            false => WRITE_BYTES.div_ceil(script.repeated.len()),
        };
        let bytes = script.repeated.repeat(times);
        while self.write(stream, index, bytes.as_bytes()).await {
            sleep(script.interval).await;
        }
        false
    }

    async fn write(&self, stream: &mut TcpStream, index: usize, bytes: &[u8]) -> bool {
        let is_open = stream.write_all(bytes).await.is_ok();
        if is_open {
            self.taken.borrow_mut()[index] += bytes.len();
        }
        is_open
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
