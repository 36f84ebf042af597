//! Engines with few slots, which fall when they have to refuse too many requests in a second.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::scripted_engine::{Arrival, chunk, read_request, write};
use super::test_dialect::FRAGILE;

/// How long an engine works on a request.
pub const WORK: Duration = Duration::from_millis(200);
/// Requests that an engine works on at once.
pub const SLOTS: usize = 2;
/// Requests that wait at an engine in ordinary times.
pub const USUAL_QUEUE: usize = 6;
/// A fallen engine is listed for so long, and is back after so long.
const LISTED: Duration = Duration::from_millis(1_000);
const BACK_AFTER: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

/// What holds for all engines of a pool at the moment.
#[derive(Default)]
pub struct Terms {
    /// What engines say in each answer; empty for nothing.
    pub says: RefCell<String>,
    /// Refusals in a second beyond which an engine falls; none when it never does.
    pub most_refusals: Cell<Option<usize>>,
    /// Requests that may wait at an engine.
    pub queue: Cell<usize>,
    /// Number of engines that say so and fall.
    pub fragile: Cell<usize>,
}

/// One life of an engine.
pub struct FragileEngine {
    pub name: String,
    pub address: SocketAddr,
    /// Its number in the pool, which its successors inherit.
    place: usize,
    terms: Rc<Terms>,
    free_slots: Semaphore,
    active: Cell<usize>,
    refusals: RefCell<VecDeque<Instant>>,
    /// Requests that it has refused while it was fragile.
    pub refused: Cell<usize>,
    pub fallen_at: Cell<Option<Instant>>,
    falls: Notify,
}

impl FragileEngine {
    async fn start(name: String, place: usize, terms: Rc<Terms>) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let engine = Rc::new(Self {
            name,
            address: listener.local_addr().expect("address"),
            place,
            terms,
            free_slots: Semaphore::new(SLOTS),
            active: Cell::new(0),
            refusals: RefCell::default(),
            refused: Cell::new(0),
            fallen_at: Cell::new(None),
            falls: Notify::new(),
        });
        spawn_local(Rc::clone(&engine).run(listener));
        engine
    }

    async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                () = self.falls.notified() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("accept");
                    // Without it the end of a stream waits for the machine's delayed acknowledgement of its begin,
                    // while virtual time goes on.
                    stream.set_nodelay(true).expect("no delay");
                    connections.spawn_local(Rc::clone(&self).serve(stream));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some((head, _)) = read_request(&mut stream).await {
            let arrival = Arrival::now(head);
            let id = arrival.header("x-id").unwrap_or_default();
            let says = match self.is_fragile() {
                true => self.terms.says.borrow().clone(),
                false => String::new(),
            };
            let queue = match self.is_fragile() {
                true => self.terms.queue.get(),
                false => USUAL_QUEUE,
            };
            if self.active.get() >= SLOTS + queue {
                let head = format!(
                    "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-signed: 1\r\nx-not-executed: 1\r\n\
                     {says}content-length: 0\r\n\r\n"
                );
                write(&mut stream, &head).await;
                self.note_refusal();
                continue;
            }
            self.active.set(self.active.get() + 1);
            let is_stream = arrival.header("x-parts").is_some();
            let worked = self.work(&mut stream, &id, &says, is_stream).await;
            self.active.set(self.active.get() - 1);
            if !worked {
                return;
            }
        }
    }

    /// Works on a request; `false` when its connection has ended.
    async fn work(&self, stream: &mut TcpStream, id: &str, says: &str, is_stream: bool) -> bool {
        let mut rest = [0; 1];
        let _slot = tokio::select! {
            slot = self.free_slots.acquire() => slot.expect("slots"),
            _ = stream.read(&mut rest) => return false,
        };
        let head = match is_stream {
            true => "content-type: text/event-stream\r\ntransfer-encoding: chunked",
            false => "content-length: 2",
        };
        let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n{says}{head}\r\n\r\n");
        if is_stream {
            write(stream, &(head.clone() + &chunk("id: 1\ndata: a\n\n"))).await;
        }
        tokio::select! {
            () = sleep(WORK) => {}
            _ = stream.read(&mut rest) => return false,
        }
        let end = match is_stream {
            true => chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
            false => head + "ok",
        };
        write(stream, &end).await;
        true
    }

    /// It falls by itself.
    pub fn fall(&self) {
        if self.fallen_at.get().is_none() {
            self.fallen_at.set(Some(Instant::now()));
            self.falls.notify_one();
        }
    }

    fn note_refusal(&self) {
        let now = Instant::now();
        let mut refusals = self.refusals.borrow_mut();
        if self.is_fragile() {
            self.refused.set(self.refused.get() + 1);
            refusals.push_back(now);
        }
        while refusals.front().is_some_and(|at| now - *at >= SECOND) {
            refusals.pop_front();
        }
        let most = self.terms.most_refusals.get();
        let most = most.filter(|_| self.is_fragile());
        if most.is_some_and(|most| refusals.len() > most) {
            self.fall();
        }
    }

    fn is_fragile(&self) -> bool {
        self.place < self.terms.fragile.get()
    }

    /// Whether the list still names it.
    fn is_listed(&self) -> bool {
        let fallen_at = self.fallen_at.get();
        fallen_at.is_none_or(|at| at.elapsed() < LISTED)
    }
}

/// Engines of one pool; a fallen one is back under another name after a while.
pub struct FragilePool {
    pub terms: Rc<Terms>,
    engines: RefCell<Vec<Rc<FragileEngine>>>,
    fallen: RefCell<Vec<Rc<FragileEngine>>>,
    started: Cell<usize>,
}

impl FragilePool {
    pub async fn start(count: usize) -> Self {
        let terms = Terms::default();
        terms.queue.set(USUAL_QUEUE);
        let pool = Self {
            terms: Rc::new(terms),
            engines: RefCell::default(),
            fallen: RefCell::default(),
            started: Cell::new(0),
        };
        for place in 0..count {
            pool.start_one(place).await;
        }
        pool
    }

    async fn start_one(&self, place: usize) {
        self.started.set(self.started.get() + 1);
        let name = format!("e{}", self.started.get());
        let engine = FragileEngine::start(name, place, Rc::clone(&self.terms)).await;
        self.engines.borrow_mut().push(engine);
    }

    /// Engines take the places of those that fell long enough ago.
    pub async fn restore(&self) {
        let is_due = |engine: &mut Rc<FragileEngine>| {
            let fallen_at = engine.fallen_at.get();
            fallen_at.is_some_and(|at| at.elapsed() >= BACK_AFTER)
        };
        let due: Vec<_> = self.engines.borrow_mut().extract_if(.., is_due).collect();
        for engine in &due {
            self.start_one(engine.place).await;
        }
        self.fallen.borrow_mut().extend(due);
    }

    /// From now on the first engines say that they bear so many refusals a second, and fall under more.
    pub fn become_fragile(&self, engines: usize, most_refusals: usize) {
        self.terms.fragile.set(engines);
        *self.terms.says.borrow_mut() = format!("{FRAGILE}: {most_refusals}\r\n");
        self.terms.most_refusals.set(Some(most_refusals));
    }

    /// From now on they bear any number again, and let as many wait as usual.
    pub fn recover(&self) {
        self.terms.fragile.set(0);
        self.terms.says.borrow_mut().clear();
        self.terms.most_refusals.set(None);
        self.terms.queue.set(USUAL_QUEUE);
    }

    /// Names and addresses of engines that the list names.
    pub fn listed(&self) -> Vec<(String, SocketAddr)> {
        let engines = self.engines.borrow();
        let listed = engines.iter().filter(|engine| engine.is_listed());
        listed
            .map(|engine| (engine.name.clone(), engine.address))
            .collect()
    }

    /// The engine of a place.
    pub fn engine(&self, place: usize) -> Rc<FragileEngine> {
        let engines = self.engines.borrow();
        let engine = engines.iter().find(|engine| engine.place == place);
        Rc::clone(engine.expect("engine"))
    }

    fn all(&self) -> Vec<Rc<FragileEngine>> {
        let (engines, fallen) = (self.engines.borrow(), self.fallen.borrow());
        engines.iter().chain(fallen.iter()).cloned().collect()
    }

    /// When engines fell.
    pub fn falls(&self) -> Vec<Instant> {
        let all = self.all();
        let mut falls: Vec<_> = all
            .iter()
            .filter_map(|engine| engine.fallen_at.get())
            .collect();
        falls.sort_unstable();
        falls
    }

    /// Requests that engines have refused while they were fragile.
    pub fn refused(&self) -> usize {
        self.all().iter().map(|engine| engine.refused.get()).sum()
    }
}
