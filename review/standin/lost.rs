//! LOST: a planned stop while callers read answers slowly.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::connect_with_window;
use crate::http::{self, Message};
use crate::json::member;
use crate::process::{Deployment, Node, TERM, until_ready};
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, free_port, own_ip};

/// What callers wait, and the time-out that the operator gave the routes.
const DEADLINE: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(8);
/// The rule's window ends so long after the grace.
const AFTER_GRACE: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(30);
const ANSWER_BYTES: usize = 5_000_000;
/// A caller reads so much each time it looks.
const READ_BYTES: usize = 20_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
const WINDOW_BYTES: i32 = 32_768;
const CALLERS: usize = 60;
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Callers pause for up to so many milliseconds between two requests.
const LONGEST_PAUSE_MS: usize = 400;
/// The signal comes so long after the traffic began; the traffic ends so long after the signal.
const BEFORE_SIGNAL: Duration = Duration::from_secs(9);
const AFTER_SIGNAL: Duration = Duration::from_secs(13);

/// One request as its caller saw it.
struct Request {
    id: String,
    node: usize,
    sent_at: Duration,
    ended_at: Duration,
    status: String,
    /// Bytes of the body that came, and bytes that were announced.
    came: usize,
    announced: usize,
    is_sent: bool,
}

pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(folder)?);
    let store = Store::start(&format!("{}:0", own_ip(9)))?;
    let runs: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=3 {
        runners.push(start_runner(number, &record, &runs)?);
    }
    write_configuration(&store, TIMEOUT);
    let beats = store.clone();
    thread::spawn(move || {
        loop {
            for (index, address) in runners.iter().enumerate() {
                beats.put_if_new(
                    "servers",
                    &format!("i-{}", index + 1),
                    &entry(index, *address),
                );
            }
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let ips: Vec<_> = (1..=3).map(own_ip).collect();
    let ports = [(); 4].map(|()| free_port(&ips));
    let deployment = Deployment {
        root,
        folder,
        store: store.address,
        zones: &["cr-central-a", "cr-central-b", "cr-central-c"],
        ports,
        contracts: CONTRACTS,
        limits: "cpuShare = 0.5\ncores = 1\nmemoryMb = 512\nmaxFds = 8192\nlinkMbps = 200.0\ndiskMb = 0\n",
        bounds: BOUNDS,
    };
    let mut nodes = deployment.start(&ips)?;
    record.line(format!("nodes at {ips:?}, ports {ports:?}"));
    if !until_ready(&nodes, Duration::from_secs(20)) {
        record.line("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = nodes.iter().map(Node::front).collect();
    let directories: Vec<_> = nodes.iter().map(Node::directory).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
    let numbers = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller {
                number,
                fronts: fronts.clone(),
                directories: directories.clone(),
                record: Arc::clone(&record),
                numbers: Arc::clone(&numbers),
            };
            let (is_over, requests) = (Arc::clone(&is_over), Arc::clone(&requests));
            thread::spawn(move || caller.call_until(&is_over, &requests))
        })
        .collect();
    thread::sleep(BEFORE_SIGNAL);
    let signalled_at = record.now();
    if has_trouble {
        record.line("SIGTERM to front-1");
        nodes[0].signal(TERM);
    }
    stop_as_planned(&mut nodes[0], &record, has_trouble)?;
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let (requests, runs) = (requests.lock().unwrap(), runs.lock().unwrap());
    Ok(judge(&record, &requests, &runs, signalled_at))
}

/// The platform: kills what still runs after the grace, and starts the process again once it has ended.
fn stop_as_planned(node: &mut Node, record: &Record, is_stopped: bool) -> std::io::Result<()> {
    let began = Instant::now();
    let mut is_to_start = is_stopped;
    while began.elapsed() < AFTER_SIGNAL {
        thread::sleep(Duration::from_millis(20));
        if is_to_start && began.elapsed() > GRACE && node.is_running() {
            record.line("front-1 still runs after its grace, SIGKILL");
            node.kill();
        }
        if is_to_start && !node.is_running() {
            record.line("front-1 has ended");
            thread::sleep(Duration::from_millis(500));
            node.begin_again()?;
            is_to_start = false;
        }
    }
    Ok(())
}

fn judge(
    record: &Record,
    requests: &[Request],
    runs: &HashMap<String, Duration>,
    signalled_at: Duration,
) -> Verdict {
    let whole = requests
        .iter()
        .filter(|request| request.came == request.announced);
    let whole = whole.filter(|request| request.status == "200").count();
    let window = signalled_at..signalled_at + GRACE + AFTER_GRACE;
    let lost: Vec<_> = requests
        .iter()
        .filter(|request| {
            let took = request.ended_at - request.sent_at;
            let is_cut = request.status.is_empty() || request.came < request.announced;
            // What is not counted: the runner broke off (none here does), the deadline or the time-out was reached.
            let is_in_time = took < DEADLINE.min(TIMEOUT);
            let is_around = request.node == 0 && window.contains(&request.ended_at);
            request.is_sent && is_cut && is_in_time && is_around && runs.contains_key(&request.id)
        })
        .collect();
    for request in &lost {
        record.line(format!(
            "LOST {} of front-1: run at {:.3} s, {} of {} bytes came, cut {:.3} s after it was sent and {:.3} s after the signal",
            request.id,
            runs[&request.id].as_secs_f64(),
            request.came,
            request.announced,
            (request.ended_at - request.sent_at).as_secs_f64(),
            (request.ended_at - signalled_at).as_secs_f64(),
        ));
    }
    let summary = format!(
        "{} requests, {whole} whole answers, {} lost",
        requests.len(),
        lost.len()
    );
    record.line(&summary);
    println!("{summary}");
    match (lost.is_empty(), whole) {
        (false, _) => Verdict::Broken,
        (true, 0) => Verdict::NotRun,
        (true, _) => Verdict::Held,
    }
}

struct Caller {
    number: usize,
    fronts: Vec<SocketAddr>,
    directories: Vec<SocketAddr>,
    record: Arc<Record>,
    numbers: Arc<AtomicU64>,
}

impl Caller {
    fn call_until(&self, is_over: &AtomicBool, requests: &Mutex<Vec<Request>>) {
        // They do not all begin, and so ask the directory, at the same moment.
        thread::sleep(START_INTERVAL * self.number as u32);
        let mut known: Option<(Vec<SocketAddr>, Instant)> = None;
        let mut turn = self.number;
        while !is_over.load(Ordering::Relaxed) {
            // An answer of the directory is kept for its time, by some callers three times as long.
            if known
                .as_ref()
                .is_none_or(|(_, until)| Instant::now() > *until)
            {
                known = self.resolve(turn).or(known);
            }
            turn += 1;
            let Some((addresses, _)) = known.as_ref().filter(|(known, _)| !known.is_empty()) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let address = addresses[drawn(turn, self.number) % addresses.len()];
            match self.call(address, turn) {
                Some(request) => {
                    requests.lock().unwrap().push(request);
                    let pause = drawn(turn, self.number + CALLERS) % LONGEST_PAUSE_MS;
                    thread::sleep(Duration::from_millis(pause as u64));
                }
                None => thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    fn resolve(&self, turn: usize) -> Option<(Vec<SocketAddr>, Instant)> {
        let directory = self.directories[drawn(turn, self.number) % self.directories.len()];
        let path = "/api/resolve?name=docs.example&region=region-1&zone=cr-central-a";
        let answer = http::ask(directory, path).ok()?;
        let body = String::from_utf8(answer.body).ok()?;
        let addresses = member(&body, "addresses")?.trim_matches(['[', ']']);
        let addresses = addresses
            .split(',')
            .filter_map(|text| text.trim_matches('"').parse().ok());
        let ttl: f64 = member(&body, "ttlS")?.parse().ok()?;
        let times = if self.number % 3 == 0 { 3.0 } else { 1.0 };
        let kept = Duration::from_secs_f64(ttl.min(5.0) * times);
        Some((addresses.collect(), Instant::now() + kept))
    }

    /// One request on a connection of its own, whose answer is read slowly; `None` when none came up.
    fn call(&self, address: SocketAddr, turn: usize) -> Option<Request> {
        let mut stream = connect_with_window(address, WINDOW_BYTES).ok()?;
        let id = format!("q{:06}", self.numbers.fetch_add(1, Ordering::Relaxed));
        let node = self.fronts.iter().position(|front| *front == address)?;
        let (method, path) = match turn % 2 {
            0 => ("POST", "/publish/page"),
            _ => ("GET", "/fetch/page"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: docs.example\r\nRyerouter-Request-Id: {id}\r\n\
             Ryerouter-Deadline-Ms: {}\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\
             Connection: close\r\n\r\n",
            DEADLINE.as_millis()
        );
        let mut request = Request {
            id,
            node,
            sent_at: self.record.now(),
            ended_at: Duration::ZERO,
            status: String::new(),
            came: 0,
            announced: 0,
            is_sent: stream.write_all(head.as_bytes()).is_ok(),
        };
        self.record.line(format!(
            "caller {} sends {method} {} to front-{}",
            self.number,
            request.id,
            node + 1
        ));
        let _ = stream.set_read_timeout(Some(DEADLINE));
        let mut reader = BufReader::with_capacity(READ_BYTES, stream);
        if let Ok(Some(head)) = http::read_head(&mut reader) {
            request.status = head.second().to_owned();
            let length = head
                .field("content-length")
                .and_then(|length| length.parse().ok());
            request.announced = length.unwrap_or_default();
            while request.came < request.announced {
                match http::read_some(&mut reader, READ_BYTES) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => request.came += count,
                }
                thread::sleep(READ_INTERVAL);
            }
        }
        request.ended_at = self.record.now();
        self.record.line(format!(
            "{} at front-{}: status '{}', {} of {} bytes",
            request.id,
            node + 1,
            request.status,
            request.came,
            request.announced
        ));
        Some(request)
    }
}

/// A number that differs by caller and turn.
fn drawn(turn: usize, caller: usize) -> usize {
    let mut value = (turn as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
        ^ (caller as u64 + 1).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value ^= value >> 29;
    value = value.wrapping_mul(0x94D0_49BB_1331_11EB);
    (value ^ (value >> 32)) as usize
}

/// A runner of the plain service: works, then answers whole.
fn start_runner(
    number: u8,
    record: &Arc<Record>,
    runs: &Arc<Mutex<HashMap<String, Duration>>>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(format!("{}:0", own_ip(10 + number)))?;
    let address = listener.local_addr()?;
    let (record, runs) = (Arc::clone(record), Arc::clone(runs));
    let name = format!("i-{number}");
    let body = vec![b'x'; ANSWER_BYTES];
    http::serve(listener, move |message: Message| {
        let expected = message.field("ryerouter-expect-instance");
        if expected.is_some_and(|expected| expected != name) {
            return http::answer(
                "421 Misdirected Request",
                &[("Ryerouter-Instance-Id", &name)],
                b"",
            );
        }
        let Some(id) = message.field("ryerouter-request-id") else {
            return http::answer("200 OK", &[("Ryerouter-Instance-Id", &name)], b"{}");
        };
        record.line(format!("{name} runs {id}"));
        runs.lock().unwrap().insert(id.to_owned(), record.now());
        thread::sleep(WORK);
        let stamp = format!("{name}.{id}");
        let fields = [
            ("Ryerouter-Request-Id", id),
            ("Ryerouter-Server-Stamp", &stamp),
        ];
        http::answer("200 OK", &fields, &body)
    });
    Ok(address)
}

pub fn entry(index: usize, address: SocketAddr) -> String {
    let zone = ["cr-central-a", "cr-central-b", "cr-central-c"][index];
    format!(
        r#"{{"service":"docs-app","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"callSeq":0}}"#
    )
}

/// Two routes to the plain service, and one tenant.
pub fn write_configuration(store: &Store, timeout: Duration) {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"docs.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{},"targetLatencyMs":150,"priority":2,"service":"docs-app","maxAttempts":{attempts},"public":false,"sticky":false,"resumable":false}}"#,
            timeout.as_millis()
        )
    };
    let configuration = format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"docs-app","healthPath":"/health","maxConns":590,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-1","apiKeys":["key-1"],"priority":1,"isolated":false}}]}}"#,
        route("publish", "/publish/", "unsafe", 1),
        route("fetch", "/fetch/", "safe", 2)
    );
    store.put("config", "main", &configuration);
}

pub const CONTRACTS: &str = r#"contracts = ["base","drain","config","cost","retry","recover","health","pool","kvcache","stream","engine","tenants","quota","pressure","platform"]"#;
/// The site's bounds.
pub const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 6000\ncatchUpS = 6\n\
    drainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 3000\ndowngradeSlackMs = 250\n\
    outerMs = 6000\nrevokeFailClosed = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
    budgetWindowS = 10\nretryFloor = 218\nquotaWindowS = 8\nquotaOverage = 0.1\n\
    quotaSlack = 110000\nrecoverS = 15\ntransitMs = 200\nagainS = 10\nrequireFencing = false\n\
    leaseMs = 3000\nthawMs = 300\nversionMs = 12000\nversionAllMs = 17000\nttl_max_s = 5\n";
