//! A faulty server sends more after whole answers, late; what it sends belongs to no request.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateways;
use crate::http::{Answer, Client};
use crate::server::{Call, Server, Work};
use crate::store::Store;
use crate::world::{Record, Request, chance, status};

const SERVERS: usize = 3;
const SLOTS: u32 = 6;
/// Requests that a server takes beside those in its slots.
const QUEUE: u32 = 24;
const WORK: Duration = Duration::from_millis(30);
const CLIENTS: usize = 12;
/// Mean time between two requests of a client: 56 requests a second in all.
const PAUSE: f64 = 0.21;
const UNSAFE_SHARE: f64 = 0.71;
const DEADLINE: Duration = Duration::from_millis(2_500);
const LENGTH: Duration = Duration::from_secs(40);
/// When the faulty server sends more, in seconds.
const WINDOWS: [(u64, u64); 5] = [(3, 8), (10, 15), (17, 22), (24, 29), (31, 36)];
/// Share of its answers after which it does.
const SHARE: f64 = 0.03;
/// What it sends: the answer of a server that sheds, as the bench's examples show it, which names no request.
const SURPLUS: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRyerouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct Alerts {
    record: Arc<Record>,
    /// Which server is faulty; none without the disruption.
    faulty: Mutex<Option<String>>,
    is_window_open: AtomicBool,
    /// Requests that each server has taken and not answered.
    active: Mutex<HashMap<String, u32>>,
    /// Requests that have run, and where.
    runs: Mutex<HashMap<String, Vec<String>>>,
    surplus_sent: AtomicU32,
}

impl Alerts {
    fn is_faulty(&self, server: &Server) -> bool {
        let is_open = self.is_window_open.load(Ordering::SeqCst);
        is_open && self.faulty.lock().unwrap().as_ref() == Some(&server.id)
    }

    fn has_room(&self, server: &Server) -> bool {
        let mut active = self.active.lock().unwrap();
        let count = active.entry(server.id.clone()).or_default();
        let has_room = *count < SLOTS + QUEUE;
        *count += u32::from(has_room);
        has_room
    }
}

impl Work for Alerts {
    fn run(&self, server: &Server, call: Call<'_>) -> io::Result<()> {
        let id = call.head.get("ryerouter-request-id").unwrap_or_default();
        if !call.surplus.is_empty() {
            self.surplus_sent.fetch_add(1, Ordering::SeqCst);
            self.record.note(&format!(
                "{} sends a surplus answer; on that connection {id} has come",
                server.id
            ));
            call.stream.write_all(&std::mem::take(call.surplus))?;
        }
        if !self.has_room(server) {
            let shed = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRyerouter-Request-Id: {id}\r\nRyerouter-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return call.stream.write_all(shed.as_bytes());
        }
        self.record.note(&format!("{} runs {id}", server.id));
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(server.id.clone());
        thread::sleep(WORK);
        *self
            .active
            .lock()
            .unwrap()
            .entry(server.id.clone())
            .or_default() -= 1;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRyerouter-Request-Id: {id}\r\nRyerouter-Server-Stamp: st.{}\r\nContent-Length: 2\r\n\r\nok",
            server.id
        );
        call.stream.write_all(answer.as_bytes())?;
        if self.is_faulty(server) && chance() < SHARE {
            call.surplus.extend(SURPLUS);
        }
        Ok(())
    }
}

/// An attempt of an unsafe request that was told that it has not run and never will.
struct Promise {
    id: String,
    status: u16,
}

pub fn run(record: &Arc<Record>, is_troubled: bool) -> io::Result<bool> {
    let store = Store::default();
    store.put("config", "main", CONFIGURATION);
    let alerts = Arc::new(Alerts {
        record: Arc::clone(record),
        faulty: Mutex::default(),
        is_window_open: AtomicBool::new(false),
        active: Mutex::default(),
        runs: Mutex::default(),
        surplus_sent: AtomicU32::new(0),
    });
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        let work: Arc<dyn Work> = Arc::clone(&alerts) as _;
        servers.push(Server::start(&store, "alert-svc", "v1", SLOTS, "[]", work)?);
    }
    let gateways = Gateways::start(2, store.serve()?)?;
    if is_troubled {
        *alerts.faulty.lock().unwrap() = Some(servers[0].id.clone());
        record.note(&format!("{} is the faulty server", servers[0].id));
    }
    let promises = Mutex::new(Vec::new());
    let began = Instant::now();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, promises) = (&gateways.fronts, &promises);
            scope.spawn(move || send_requests(record, client, fronts, began + LENGTH, promises));
        }
        for (from, to) in WINDOWS {
            thread::sleep(
                (began + Duration::from_secs(from)).saturating_duration_since(Instant::now()),
            );
            alerts.is_window_open.store(true, Ordering::SeqCst);
            thread::sleep(
                (began + Duration::from_secs(to)).saturating_duration_since(Instant::now()),
            );
            alerts.is_window_open.store(false, Ordering::SeqCst);
        }
    });
    // What was promised never to run could still run.
    thread::sleep(DEADLINE);
    let runs = alerts.runs.lock().unwrap();
    let promises = promises.into_inner().unwrap();
    let mut broken = 0;
    for Promise { id, status } in &promises {
        if let Some(servers) = runs.get(id) {
            broken += 1;
            record.note(&format!(
                "REFUSED: {id} was answered {status}, and {} ran it",
                servers.join(",")
            ));
        }
    }
    let surplus = alerts.surplus_sent.load(Ordering::SeqCst);
    record.note(&format!(
        "{} requests ran, {surplus} surplus answers came in the place of the next, {} unsafe requests were told that \
         they have not run, {broken} of them had",
        runs.len(),
        promises.len()
    ));
    Ok(broken > 0)
}

fn send_requests(
    record: &Record,
    client: usize,
    fronts: &[SocketAddr],
    end: Instant,
    promises: &Mutex<Vec<Promise>>,
) {
    let front = fronts[client % fronts.len()];
    let mut kept = None;
    let mut number = 0;
    while Instant::now() < end {
        thread::sleep(Duration::from_secs_f64(-PAUSE * chance().max(1e-6).ln()));
        number += 1;
        let id = format!("c{client}-{number}");
        let is_unsafe = chance() < UNSAFE_SHARE;
        let began = Instant::now();
        let answer = send(record, &mut kept, front, &id, is_unsafe, DEADLINE);
        let Some(answer) = answer else { continue };
        let status = answer.head.status();
        if !is_unsafe || ![408, 421, 429, 503].contains(&status) {
            continue;
        }
        promises.lock().unwrap().push(Promise {
            id: id.clone(),
            status,
        });
        // A client tries again after a promise, as the protocol says.
        let wait = answer
            .head
            .get("retry-after")
            .and_then(|wait| wait.parse().ok());
        let wait = Duration::from_secs_f64(wait.unwrap_or_default());
        let left = DEADLINE.saturating_sub(began.elapsed());
        thread::sleep(wait.min(left / 3));
        let again = format!("{id}-again");
        let left = DEADLINE.saturating_sub(began.elapsed());
        let answer = send(record, &mut None, front, &again, true, left);
        let status = answer.map_or(0, |answer| answer.head.status());
        if [408, 421, 429, 503].contains(&status) {
            promises.lock().unwrap().push(Promise { id: again, status });
        }
    }
}

fn send(
    record: &Record,
    kept: &mut Option<Client>,
    front: SocketAddr,
    id: &str,
    is_unsafe: bool,
    deadline: Duration,
) -> Option<Answer> {
    let (method, path) = match is_unsafe {
        true => ("POST", "/breach/alert"),
        false => ("GET", "/dock/alert"),
    };
    let request = Request {
        method,
        path,
        id,
        key: Some("key-of-callaghan"),
        deadline,
        fields: "",
        body: if is_unsafe {
            "pallet 7 has breached"
        } else {
            ""
        },
    };
    record.note(&format!(
        "{id} is sent, {}",
        if is_unsafe { "unsafe" } else { "safe" }
    ));
    let mut client = match kept.take() {
        Some(client) => client,
        None => Client::connect(front, deadline + Duration::from_secs(1)).ok()?,
    };
    let answer = client.call(&request.print());
    record.note(&format!("{id} is answered: {}", status(&answer)));
    let answer = answer.ok()?;
    let is_kept = answer.is_whole && answer.head.get("connection") != Some("close");
    *kept = is_kept.then_some(client);
    Some(answer)
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[
{"name":"r-breach","host":"jepu9.example","pathPrefix":"/breach/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"alert-svc","maxAttempts":1,"public":false},
{"name":"r-dock","host":"jepu9.example","pathPrefix":"/dock/","kind":"safe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"alert-svc","maxAttempts":2,"public":false}],
"services":[{"name":"alert-svc","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"callaghan","apiKeys":["key-of-callaghan"],"priority":1,"isolated":false}]}"#;
