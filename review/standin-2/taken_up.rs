//! Two versions of the servers' software serve side by side; the store is away, and all gateways are killed meanwhile.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateways;
use crate::http::Client;
use crate::model::{MODEL, Model, configuration};
use crate::store::Store;
use crate::world::{Record, Request, chance, status};

const GATEWAYS: u8 = 3;
const SERVERS_OF_EACH_VERSION: usize = 3;
const CLIENTS: usize = 60;
const DEADLINE: Duration = Duration::from_millis(10_000);
const PIECES: usize = 30;
const PAUSE: Duration = Duration::from_millis(130);
const STORE_AWAY_AT: Duration = Duration::from_millis(6_000);
/// The store is away for 4.5 s.
const KILL_AT: Duration = Duration::from_millis(10_300);
const STORE_BACK_AT: Duration = Duration::from_millis(10_500);
const START_AT: Duration = Duration::from_millis(11_000);
/// `contactMs`, and a moment on top, after the start: all machines are in touch, and the store is stable.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_200);
const LENGTH: Duration = Duration::from_millis(24_000);
/// Pauses before the tries of a client that takes a stream up: a few, within its deadline.
const PAUSES: [f64; 4] = [0.5, 1.0, 2.0, 3.0];
/// Share of streams whose client loses its connection by itself.
const OWN_LOSSES: f64 = 0.12;

/// What clients have seen at machines in touch.
#[derive(Default)]
struct Tally {
    new: usize,
    new_begun: usize,
    taken_up: usize,
    gone_on: usize,
    mixed: usize,
}

struct World {
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
    end: Instant,
    is_in_touch: AtomicBool,
    tally: Mutex<Tally>,
}

pub fn run(record: &Arc<Record>, is_troubled: bool) -> io::Result<bool> {
    let store = Store::default();
    let tenants =
        "[{\"name\":\"callaghan\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"isolated\":false}]";
    store.put("config", "main", &configuration(7, 10_000, tenants));
    store.put(
        "versions",
        MODEL,
        &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"),
    );
    let pieces = (0..PIECES).map(|index| format!(" word{index}").into_bytes());
    let model = Model::new(record, pieces.collect(), PAUSE);
    for version in ["v1", "v2"] {
        for _ in 0..SERVERS_OF_EACH_VERSION {
            model.start(&store, version)?;
        }
    }
    let gateways = Gateways::start(GATEWAYS, store.serve()?)?;
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let world = World {
        record: Arc::clone(record),
        fronts: gateways.fronts.clone(),
        end: began + LENGTH,
        is_in_touch: AtomicBool::new(false),
        tally: Mutex::default(),
    };
    let wait_until =
        |at: Duration| thread::sleep((began + at).saturating_duration_since(Instant::now()));
    thread::scope(|scope| -> io::Result<()> {
        for client in 0..CLIENTS {
            let world = &world;
            scope.spawn(move || send_requests(world, client));
        }
        if is_troubled {
            wait_until(STORE_AWAY_AT);
            store.set_down(true);
            record.note("the store is away");
            wait_until(KILL_AT);
            gateways.kill();
            record.note("all gateways are killed");
            wait_until(STORE_BACK_AT);
            store.set_down(false);
            record.note("the store is back");
            wait_until(START_AT);
            gateways.start_processes(false)?;
            record.note("the gateways are started again");
        }
        wait_until(START_AT + IN_TOUCH_AFTER);
        world.is_in_touch.store(true, Ordering::SeqCst);
        record.note("all machines are in touch");
        Ok(())
    })?;
    let tally = world.tally.into_inner().unwrap();
    record.note(&format!(
        "at machines in touch: of {} streams that were taken up again {} went on, of {} new ones {} began; {} streams hold \
         two versions",
        tally.taken_up, tally.gone_on, tally.new, tally.new_begun, tally.mixed
    ));
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_lost = tally.taken_up >= 12
        && share(tally.gone_on, tally.taken_up) < share(tally.new_begun, tally.new) / 2.0;
    Ok(is_lost || tally.mixed > 2)
}

fn send_requests(world: &World, client: usize) {
    let mut number = 0;
    thread::sleep(Duration::from_secs_f64(4.0 * chance()));
    while Instant::now() < world.end {
        number += 1;
        read_stream(world, client, &format!("c{client}-{number}"));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Reads a stream to its end, and takes it up where it broke off.
fn read_stream(world: &World, client: usize, first: &str) {
    let began = Instant::now();
    let mut lines = Vec::new();
    let loses_connection = chance() < OWN_LOSSES;
    // Whether it was taken up at machines in touch, and whether it went on then.
    let (mut is_taken_up, mut has_gone_on) = (false, false);
    for attempt in 0..=PAUSES.len() {
        let last = ids(&lines);
        if attempt > 0 {
            thread::sleep(Duration::from_secs_f64(PAUSES[attempt - 1]));
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let is_new = last == 0;
        let id = if attempt == 0 {
            first.to_owned()
        } else {
            format!("{first}-{attempt}")
        };
        let up = match is_new {
            true => String::new(),
            false => format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"),
        };
        let fields = format!(
            "Ryerouter-Model: {MODEL}\r\nRyerouter-Token-Counts: 4020,{PIECES}\r\n\
             Ryerouter-Prompt-Prefix: {:08x}:3000,{:08x}:1020\r\n{up}",
            0x5c00_0000 + client,
            0x9100_0000 + client * 1_000
        );
        let request = Request {
            method: "POST",
            path: "/verdict/shipment",
            id: &id,
            key: Some("key-1"),
            deadline: left,
            fields: &fields,
            body: "the history of the shipment",
        };
        let front =
            world.fronts[(chance() * world.fronts.len() as f64) as usize % world.fronts.len()];
        let counts = world.is_in_touch.load(Ordering::SeqCst);
        let kind = if is_new { "new" } else { "taken up" };
        world.record.note(&format!(
            "{id} is sent to {front}, {kind} after piece {last}"
        ));
        // A client that loses its connection has read half of the stream by then.
        let limit = (loses_connection && attempt == 0).then_some(PAUSE * (PIECES / 2) as u32);
        let answer = match limit {
            Some(limit) => Client::connect(front, limit)
                .and_then(|mut client| client.call_until(&request.print(), limit)),
            None => request.send(front),
        };
        let body = answer
            .as_ref()
            .map(|answer| answer.body.clone())
            .unwrap_or_default();
        lines.extend(body.split(|byte| *byte == b'\n').map(<[u8]>::to_vec));
        let is_answered = ids(&lines) > last;
        world.record.note(&format!(
            "{id} is answered: {}, up to piece {}",
            status(&answer),
            ids(&lines)
        ));
        if counts && is_new {
            let mut tally = world.tally.lock().unwrap();
            tally.new += 1;
            tally.new_begun += usize::from(is_answered);
        }
        is_taken_up |= counts && !is_new;
        has_gone_on |= counts && !is_new && is_answered;
        if ids(&lines) == PIECES {
            break;
        }
    }
    let mut tally = world.tally.lock().unwrap();
    tally.taken_up += usize::from(is_taken_up);
    tally.gone_on += usize::from(has_gone_on);
    let has = |version: &[u8]| lines.iter().any(|line| line == version);
    if has(b"event: v1") && has(b"event: v2") {
        tally.mixed += 1;
        world.record.note(&format!("{first} holds two versions"));
    }
}

/// The id of the last piece that came.
fn ids(lines: &[Vec<u8>]) -> usize {
    let ids = lines.iter().filter_map(|line| line.strip_prefix(b"id: "));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.parse().ok())
        .next_back()
        .unwrap_or_default()
}
