//! Engines of several software versions that stream which version wrote each event.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::engines::EngineEntry;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

use super::records::engine;
use super::scripted_engine::{Arrival, chunk, read_request, stream_head, write};
use super::test_dialect::AFTER;

/// Events of each stream.
pub const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(8);

/// An engine of one software version.
pub struct VersionedEngine {
    pub name: String,
    pub software: String,
    pub address: SocketAddr,
    behaviour: Rc<Behaviour>,
    running: JoinHandle<()>,
}

/// How an engine answers, which a test may change.
#[derive(Default)]
pub struct Behaviour {
    /// Breaks off each answer after so many events.
    pub breaks_after: Cell<Option<u32>>,
    /// Breaks off one in so many answers in the middle, and lives on.
    pub breaks_one_in: Cell<Option<u32>>,
    /// Time between events.
    pub event_pause: Cell<Option<Duration>>,
    /// Turns every request away for want of room.
    pub is_full: Cell<bool>,
    /// Heads of the requests that it ran.
    pub runs: RefCell<Vec<Arrival>>,
}

impl VersionedEngine {
    pub async fn start(name: &str, software: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let behaviour = Rc::new(Behaviour::default());
        let running = spawn_local(run_engine(
            listener,
            software.to_owned(),
            Rc::clone(&behaviour),
        ));
        Self {
            name: name.to_owned(),
            software: software.to_owned(),
            address,
            behaviour,
            running,
        }
    }

    /// Its entry in the list.
    pub fn entry(&self) -> EngineEntry {
        EngineEntry {
            software: self.software.clone(),
            ..engine(&self.name, self.address, 1)
        }
    }

    /// How it answers.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// Ends it, with all that it runs.
    pub fn crash(&self) {
        self.running.abort();
    }
}

async fn run_engine(listener: TcpListener, software: String, behaviour: Rc<Behaviour>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn_local(serve(stream, software.clone(), Rc::clone(&behaviour)));
    }
}

async fn serve(mut stream: TcpStream, software: String, behaviour: Rc<Behaviour>) {
    while let Some((head, _)) = read_request(&mut stream).await {
        let arrival = Arrival::now(head);
        let id = arrival.header("x-id").unwrap_or_default();
        if behaviour.is_full.get() {
            let head = format!(
                "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-signed: 1\r\nx-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            write(&mut stream, &head).await;
            continue;
        }
        let after = arrival.header(AFTER).and_then(|text| text.parse().ok());
        behaviour.runs.borrow_mut().push(arrival);
        write(&mut stream, &stream_head(&id)).await;
        let first = after.unwrap_or(0) + 1;
        let runs = behaviour.runs.borrow().len() as u32;
        let one_in = behaviour.breaks_one_in.get();
        let breaks = one_in.is_some_and(|one_in| runs.is_multiple_of(one_in));
        let pause = behaviour.event_pause.get().unwrap_or(EVENT_PAUSE);
        for (written, number) in (first..=EVENTS).enumerate() {
            if behaviour.breaks_after.get() == Some(written as u32) {
                return;
            }
            if breaks && number > EVENTS / 2 {
                return;
            }
            sleep(pause).await;
            let event = format!("id: {number}\ndata: {software}\n\n");
            write(&mut stream, &chunk(&event)).await;
        }
        sleep(pause).await;
        write(&mut stream, "0\r\n\r\n").await;
    }
}
