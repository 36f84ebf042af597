//! Engines that end when they begin to run a certain request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

use super::scripted_engine::{Arrival, chunk, read_request, stream_head, write};
use super::test_dialect::PARTS;

/// The body of the request under which each engine ends.
pub const FATAL: &str = "fatal";
/// The same, and the head of its answer names no request.
pub const FATAL_AND_SPOILED: &str = "fatal and spoiled";
/// The part of a prompt under which each engine ends, whatever the body.
pub const FATAL_PART: &str = "fatal-part";
/// How long its engine goes on after that.
const TIME_AFTER_SPOILED: Duration = Duration::from_millis(30);
/// The body of a request that takes a while.
pub const POPULAR: &str = "popular";
/// How long.
const TIME_OF_POPULAR: Duration = Duration::from_millis(40);
/// The body of a request that runs until its engine ends.
pub const LASTING: &str = "lasting";

struct Engine {
    address: SocketAddr,
    running: JoinHandle<()>,
}

/// A pool whose engines end under the request [`FATAL`], with all that runs on them.
#[derive(Default)]
pub struct CrashingPool {
    count: usize,
    engines: RefCell<BTreeMap<String, Engine>>,
    started: Cell<usize>,
    ended: Rc<Cell<usize>>,
    /// Requests of the body [`LASTING`] that run.
    pub lasting: Rc<Cell<usize>>,
}

impl CrashingPool {
    /// So many engines.
    pub async fn start(count: usize) -> Self {
        let pool = Self {
            count,
            ..Self::default()
        };
        pool.restore().await;
        pool
    }

    /// How many engines have ended under a request.
    pub fn ended(&self) -> usize {
        self.ended.get()
    }

    /// The engines that run.
    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let engines = self.engines.borrow();
        let all = engines.iter();
        all.map(|(name, engine)| (name.clone(), engine.address))
            .collect()
    }

    /// All engines are lost at once.
    pub fn kill_all(&self) {
        for engine in self.engines.borrow().values() {
            engine.running.abort();
        }
    }

    /// Engines take the place of those that have ended, under other names.
    pub async fn restore(&self) {
        let is_running = |_: &String, engine: &mut Engine| !engine.running.is_finished();
        self.engines.borrow_mut().retain(is_running);
        while self.engines.borrow().len() < self.count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address");
            self.started.set(self.started.get() + 1);
            let name = format!("e{}", self.started.get());
            let (ended, lasting) = (Rc::clone(&self.ended), Rc::clone(&self.lasting));
            let running = spawn_local(run_engine(listener, ended, lasting));
            let engine = Engine { address, running };
            self.engines.borrow_mut().insert(name, engine);
        }
    }
}

/// Runs until a request ends it; its connections end with it.
async fn run_engine(listener: TcpListener, ended: Rc<Cell<usize>>, lasting: Rc<Cell<usize>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.expect("accept");
                connections.spawn_local(serve(stream, Rc::clone(&lasting)));
            }
            Some(is_fatal) = connections.join_next() => {
                if is_fatal.unwrap_or_default() {
                    return ended.set(ended.get() + 1);
                }
            }
        }
    }
}

/// Answers what comes on a connection; `true` when it is the end of the engine.
async fn serve(mut stream: TcpStream, lasting: Rc<Cell<usize>>) -> bool {
    while let Some((head, body)) = read_request(&mut stream).await {
        let arrival = Arrival::now(head);
        let id = arrival.header("x-id").unwrap_or_default();
        let parts = arrival.header(PARTS).unwrap_or_default();
        let body = match parts.split(',').any(|part| part == FATAL_PART) {
            true => FATAL.to_owned(),
            false => body,
        };
        let named = match body.as_str() {
            FATAL_AND_SPOILED => "",
            _ => &id,
        };
        let head = stream_head(named);
        let head = match named.is_empty() {
            true => head.replace("x-id: \r\n", ""),
            false => head,
        };
        write(&mut stream, &head).await;
        match body.as_str() {
            FATAL => {
                write(&mut stream, "8\r\nid: 1\nda").await;
                return true;
            }
            FATAL_AND_SPOILED => {
                sleep(TIME_AFTER_SPOILED).await;
                return true;
            }
            LASTING => {
                write(&mut stream, &chunk("id: 1\ndata: a\n\n")).await;
                lasting.set(lasting.get() + 1);
                let _ = stream.read_u8().await;
                lasting.set(lasting.get() - 1);
                return false;
            }
            POPULAR => {
                write(&mut stream, &chunk("id: 1\ndata: a\n\n")).await;
                sleep(TIME_OF_POPULAR).await;
                write(&mut stream, "0\r\n\r\n").await;
            }
            _ => {
                write(&mut stream, &chunk("id: 1\ndata: a\n\n")).await;
                write(&mut stream, "0\r\n\r\n").await;
            }
        }
        let _ = stream.flush().await;
    }
    false
}
