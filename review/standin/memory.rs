//! Fault: a burst of requests with long bodies, which runners read slowly.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::lost::{BOUNDS, CONTRACTS, entry, write_configuration};
use crate::process::{Deployment, Node, until_ready};
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, free_port, http, own_ip};

/// As for the site's longest kind of request.
const DEADLINE: Duration = Duration::from_secs(12);
/// Within `maxBodyBytes`.
const BODY_BYTES: usize = 4_000_000;
/// Bytes in a piece, and time between pieces: callers send, and runners read, 0.8 MB/s.
const PIECE_BYTES: usize = 40_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// The smallest machines of the site.
const MEMORY_MB: u64 = 88;
const NODES: usize = 3;
/// Callers at a node in usual times, and in a burst of 2.6 times.
const USUAL_CALLERS: usize = 12;
const BURST_CALLERS: usize = 31;
const BURST: Duration = Duration::from_millis(5_900);
const BURSTS: u32 = 4;
const BETWEEN_BURSTS: Duration = Duration::from_secs(16);
const FIRST_BURST: Duration = Duration::from_secs(10);
/// Ends on one machine, and machines with so many, that break the rule.
const MOST_ENDS: usize = 3;
const MACHINES: usize = 2;

pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(folder)?);
    let store = Store::start(&format!("{}:0", own_ip(9)))?;
    let mut runners = Vec::new();
    for number in 1..=3 {
        runners.push(start_runner(number, &record)?);
    }
    write_configuration(&store, DEADLINE);
    for (index, address) in runners.iter().enumerate() {
        store.put(
            "servers",
            &format!("i-{}", index + 1),
            &entry(index, *address),
        );
    }
    let ips: Vec<_> = (1..=NODES as u8).map(own_ip).collect();
    let ports = [(); 4].map(|()| free_port(&ips));
    let limits = format!(
        "cpuShare = 0.5\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\nlinkMbps = 200.0\ndiskMb = 0\n"
    );
    let deployment = Deployment {
        root,
        folder,
        store: store.address,
        zones: &["cr-central-a", "cr-central-b", "cr-central-c"],
        ports,
        contracts: CONTRACTS,
        limits: &limits,
        bounds: BOUNDS,
    };
    let mut nodes = deployment.start(&ips)?;
    record.line(format!("nodes at {ips:?}, ports {ports:?}"));
    if !until_ready(&nodes, Duration::from_secs(20)) {
        record.line("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(3));
    let callers = Arc::new(Callers {
        record: Arc::clone(&record),
        wanted: AtomicUsize::new(USUAL_CALLERS),
        numbers: AtomicU64::new(0),
        served: AtomicU64::new(0),
        unserved: AtomicU64::new(0),
    });
    for node in &nodes {
        for number in 0..BURST_CALLERS {
            let (callers, front) = (Arc::clone(&callers), node.front());
            thread::spawn(move || callers.call_forever(number, front));
        }
    }
    let ends = watch(&mut nodes, &record, &callers, has_trouble)?;
    drop(nodes);
    Ok(judge(&record, &callers, &ends))
}

/// The platform: ends a process that exceeds its memory and starts it again; bursts come meanwhile.
fn watch(
    nodes: &mut [Node],
    record: &Record,
    callers: &Callers,
    has_trouble: bool,
) -> std::io::Result<Vec<usize>> {
    let began = Instant::now();
    let end = FIRST_BURST + BETWEEN_BURSTS * BURSTS;
    let mut ends = vec![0; nodes.len()];
    let mut most = vec![0; nodes.len()];
    while began.elapsed() < end {
        let since_first = began.elapsed().checked_sub(FIRST_BURST);
        let in_turn = since_first.map(|since| since.as_millis() % BETWEEN_BURSTS.as_millis());
        let is_burst = has_trouble && in_turn.is_some_and(|since| since < BURST.as_millis());
        let wanted = if is_burst {
            BURST_CALLERS
        } else {
            USUAL_CALLERS
        };
        if callers.wanted.swap(wanted, Ordering::Relaxed) != wanted {
            record.line(format!("{wanted} callers at each node"));
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            let memory_kb = node.memory_kb().unwrap_or_default();
            most[index] = most[index].max(memory_kb);
            if memory_kb > MEMORY_MB * 1_024 {
                ends[index] += 1;
                record.line(format!(
                    "front-{} holds {memory_kb} kB of {} kB and is ended, the {}. time",
                    index + 1,
                    MEMORY_MB * 1_024,
                    ends[index]
                ));
                node.kill();
                thread::sleep(Duration::from_millis(100));
                node.begin_again()?;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(format!("most memory in kB: {most:?}"));
    Ok(ends)
}

fn judge(record: &Record, callers: &Callers, ends: &[usize]) -> Verdict {
    let served = callers.served.load(Ordering::Relaxed);
    let unserved = callers.unserved.load(Ordering::Relaxed);
    let summary = format!("ends by memory: {ends:?}; {served} requests served, {unserved} not");
    record.line(&summary);
    println!("{summary}");
    let machines = ends.iter().filter(|count| **count >= MOST_ENDS).count();
    match (machines >= MACHINES, served) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::NotRun,
        (false, _) => Verdict::Held,
    }
}

struct Callers {
    record: Arc<Record>,
    /// Callers at each node now.
    wanted: AtomicUsize,
    numbers: AtomicU64,
    served: AtomicU64,
    unserved: AtomicU64,
}

impl Callers {
    fn call_forever(&self, number: usize, front: SocketAddr) {
        loop {
            if number >= self.wanted.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            // They do not all send at the same moment.
            thread::sleep(Duration::from_millis((number as u64 * 37) % 800));
            let id = format!("q{:06}", self.numbers.fetch_add(1, Ordering::Relaxed));
            let answered = self.call(&id, front);
            let status = answered.unwrap_or_else(|error| format!("none: {error}"));
            let count = if status == "200" {
                &self.served
            } else {
                &self.unserved
            };
            count.fetch_add(1, Ordering::Relaxed);
            self.record.line(format!("{id} at {front}: {status}"));
            if status != "200" {
                thread::sleep(Duration::from_millis(500));
            }
        }
    }

    fn call(&self, id: &str, front: SocketAddr) -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(DEADLINE))?;
        stream.set_write_timeout(Some(DEADLINE))?;
        self.record.line(format!("{id} sent to {front}"));
        let head = format!(
            "POST /publish/page HTTP/1.1\r\nHost: docs.example\r\nRyerouter-Request-Id: {id}\r\n\
             Ryerouter-Deadline-Ms: {}\r\nAuthorization: Token key-1\r\nContent-Length: {BODY_BYTES}\r\n\
             Connection: close\r\n\r\n",
            DEADLINE.as_millis()
        );
        stream.write_all(head.as_bytes())?;
        let piece = vec![b'b'; PIECE_BYTES];
        for _ in 0..BODY_BYTES / PIECE_BYTES {
            stream.write_all(&piece)?;
            thread::sleep(PIECE_INTERVAL);
        }
        let answer = http::read_message(&mut BufReader::new(stream))?;
        let answer = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        Ok(answer.second().to_owned())
    }
}

/// A runner that reads bodies slowly.
fn start_runner(number: u8, record: &Arc<Record>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(format!("{}:0", own_ip(10 + number)))?;
    let address = listener.local_addr()?;
    let record = Arc::clone(record);
    let name = format!("i-{number}");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, name) = (Arc::clone(&record), name.clone());
            thread::spawn(move || serve_slowly(stream, &name, &record));
        }
    });
    Ok(address)
}

fn serve_slowly(stream: TcpStream, name: &str, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(message) = http::read_head(&mut reader).ok()? {
        let length = message.field("content-length").unwrap_or("0");
        let mut left: usize = length.parse().ok()?;
        let mut piece = vec![0; PIECE_BYTES];
        while left > 0 {
            let count = left.min(PIECE_BYTES);
            reader.read_exact(&mut piece[..count]).ok()?;
            left -= count;
            thread::sleep(PIECE_INTERVAL);
        }
        let expected = message.field("ryerouter-expect-instance");
        let answer = match message.field("ryerouter-request-id") {
            _ if expected.is_some_and(|expected| expected != name) => http::answer(
                "421 Misdirected Request",
                &[("Ryerouter-Instance-Id", name)],
                b"",
            ),
            Some(id) => {
                record.line(format!("{name} runs {id}"));
                let stamp = format!("{name}.{id}");
                let fields = [
                    ("Ryerouter-Request-Id", id),
                    ("Ryerouter-Server-Stamp", stamp.as_str()),
                ];
                http::answer("200 OK", &fields, b"published")
            }
            None => http::answer("200 OK", &[("Ryerouter-Instance-Id", name)], b"{}"),
        };
        writer.write_all(&answer).ok()?;
    }
    Some(())
}
