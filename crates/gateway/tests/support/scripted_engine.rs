//! An engine that does as it is told.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// What the engine does with the next request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Answers with this status and body, echoing the id.
    Answer(u16, &'static str),
    /// Answers that the request has not run.
    NoRoom,
    /// Answers another request than the one that was asked.
    Foreign,
    /// Says nothing until the connection ends.
    Silence,
    /// Closes the connection without a word.
    Close,
    /// Closes the connection without a word after this time.
    CloseAfter(Duration),
    /// Sends these events and ends the stream well.
    Events(&'static [&'static str]),
    /// Sends these bytes of a stream and breaks off.
    BrokenEvents(&'static [&'static str]),
    /// Sends these events of a stream and then nothing, until the connection ends.
    StallingEvents(&'static [&'static str]),
    /// Answers after this time.
    Late(Duration),
    /// Sends these events and ends the stream well, after this time.
    LateEvents(Duration, &'static [&'static str]),
    /// Breaks off after the first bytes, but sends the others to a request that goes on. They need not be text.
    BreaksOnce(&'static [&'static [u8]], &'static [&'static [u8]]),
}

/// A request as it arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub head: String,
    pub at: Instant,
}

impl Arrival {
    pub fn now(head: String) -> Self {
        let at = Instant::now();
        Self { head, at }
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}:");
        let mut lines = self.head.lines();
        let line = lines.find(|line| line.to_ascii_lowercase().starts_with(&prefix))?;
        Some(line[prefix.len()..].trim().to_owned())
    }
}

/// An engine that takes one step for each request, then answers 200.
#[derive(Default)]
pub struct ScriptedEngine {
    steps: RefCell<VecDeque<Step>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    /// Connections that were opened to it.
    pub accepted: Cell<u32>,
    /// Connections that their peer closed while a request was unanswered.
    pub abandoned: Cell<u32>,
    /// Header lines that it puts in each answer.
    pub says: RefCell<String>,
    /// Whether it turns requests away for which there is no step.
    pub turns_away: Cell<bool>,
    changed: Notify,
}

impl ScriptedEngine {
    /// Starts an engine on a free port.
    pub async fn start(steps: impl IntoIterator<Item = Step>) -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let engine = Rc::new(Self {
            steps: RefCell::new(steps.into_iter().collect()),
            ..Self::default()
        });
        let shared = Rc::clone(&engine);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = Rc::clone(&shared);
                engine.accepted.set(engine.accepted.get() + 1);
                spawn_local(async move { engine.serve(stream).await });
            }
        });
        (engine, address)
    }

    /// Takes this step with the next request for which there is no other.
    pub fn push(&self, step: Step) {
        self.steps.borrow_mut().push_back(step);
    }

    /// Takes this step with the next request, and none of those named before.
    pub fn replace_steps(&self, step: Step) {
        self.clear_steps();
        self.push(step);
    }

    /// Takes none of the steps named before.
    pub fn clear_steps(&self) {
        self.steps.borrow_mut().clear();
    }

    /// Waits until a caller has left an unanswered request.
    pub async fn until_abandoned(&self) {
        while self.abandoned.get() == 0 {
            self.changed.notified().await;
        }
    }

    /// Waits until so many requests have arrived.
    pub async fn until_arrived(&self, count: usize) {
        while self.arrivals.borrow().len() < count {
            self.changed.notified().await;
        }
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _)) = read_request(&mut stream).await {
            let arrival = Arrival::now(head);
            let goes_on = arrival.header("x-after").is_some();
            let id = arrival.header("x-id").unwrap_or_default();
            self.arrivals.borrow_mut().push(arrival);
            self.changed.notify_waiters();
            let step = self.steps.borrow_mut().pop_front();
            let default = match self.turns_away.get() {
                true => Step::NoRoom,
                false => Step::Answer(200, "ok"),
            };
            let says = self.says.borrow().clone();
            match step.unwrap_or(default) {
                Step::Answer(status, body) => {
                    write(&mut stream, &answer(status, &id, &says, body)).await;
                }
                Step::NoRoom => {
                    let says = format!("x-not-executed: 1\r\n{says}");
                    write(&mut stream, &answer(503, &id, &says, "")).await;
                }
                Step::Foreign => write(&mut stream, &answer(200, "another", "", "no")).await,
                Step::Close => return,
                Step::CloseAfter(wait) => {
                    sleep(wait).await;
                    return;
                }
                Step::Silence => {
                    let mut rest = [0; 1];
                    let _ = stream.read(&mut rest).await;
                    self.abandoned.set(self.abandoned.get() + 1);
                    self.changed.notify_waiters();
                    return;
                }
                Step::StallingEvents(events) => {
                    begin_events(&mut stream, &id, events).await;
                    let mut rest = [0; 1];
                    let _ = stream.read(&mut rest).await;
                    self.abandoned.set(self.abandoned.get() + 1);
                    self.changed.notify_waiters();
                    return;
                }
                Step::Late(wait) => {
                    sleep(wait).await;
                    write(&mut stream, &answer(200, &id, "", "late")).await;
                }
                Step::Events(events) => write_events(&mut stream, &id, events).await,
                Step::LateEvents(wait, events) => {
                    sleep(wait).await;
                    write_events(&mut stream, &id, events).await;
                }
                Step::BreaksOnce(_, rest) if goes_on => write_events(&mut stream, &id, rest).await,
                Step::BreaksOnce(events, _) => {
                    return begin_events(&mut stream, &id, events).await;
                }
                Step::BrokenEvents(events) => {
                    return begin_events(&mut stream, &id, events).await;
                }
            }
        }
    }
}

/// Head and body of the next request; `None` when the connection ends before.
pub async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = Arrival::now(head.clone()).header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

fn answer(status: u16, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nx-id: {id}\r\nx-signed: 1\r\n{more}\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Head of an answer that is a stream.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// One chunk of its body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes a stream of these events that ends well.
async fn write_events(stream: &mut TcpStream, id: &str, events: &[impl AsRef<[u8]>]) {
    begin_events(stream, id, events).await;
    write(stream, "0\r\n\r\n").await;
}

/// Writes the head of a stream and these events, a chunk each.
async fn begin_events(stream: &mut TcpStream, id: &str, events: &[impl AsRef<[u8]>]) {
    write(stream, &stream_head(id)).await;
    for event in events {
        let event = event.as_ref();
        let length = format!("{:x}\r\n", event.len());
        write(stream, [length.as_bytes(), event, b"\r\n"].concat()).await;
    }
}

/// Writes at once.
pub async fn write(stream: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    // A caller that has left shows in the next read.
    let _ = stream.write_all(bytes.as_ref()).await;
    let _ = stream.flush().await;
}
