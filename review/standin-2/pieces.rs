//! A server crashes while its streams are under way; pieces of the streams end within a character.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateways;
use crate::model::{MODEL, Model, configuration};
use crate::store::Store;
use crate::world::{Record, Request, status};

/// One crash is 0.14 of them.
const SERVERS: usize = 7;
const CLIENTS: usize = 28;
const DEADLINE: Duration = Duration::from_millis(10_000);
const LENGTH: Duration = Duration::from_secs(14);
const CRASH_AFTER: Duration = Duration::from_secs(6);
/// Three heartbeats, after which the entry of a crashed server has gone.
const LAPSE: Duration = Duration::from_millis(3_600);
const PIECES: usize = 40;
const PAUSE: Duration = Duration::from_millis(25);

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
    let model = Model::new(record, pieces(), PAUSE);
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(model.start(&store, "v1")?);
    }
    let gateways = Gateways::start(2, store.serve()?)?;
    let began = Instant::now();
    let faults = Mutex::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, faults) = (&gateways.fronts, &faults);
            scope.spawn(move || send_requests(record, client, fronts, began + LENGTH, faults));
        }
        thread::sleep(CRASH_AFTER);
        if is_troubled {
            record.note(&format!("{} crashes", servers[0].id));
            servers[0].crash();
            thread::sleep(LAPSE);
            store.remove("servers", &servers[0].id);
        }
    });
    let faults = faults.into_inner().unwrap();
    record.note(&format!("{faults} streams with a piece missing or twice"));
    Ok(faults > 0)
}

/// Tokens of a model that reads and writes bytes: two bytes each of a text whose characters have three.
fn pieces() -> Vec<Vec<u8>> {
    let text = "停机坪过热".repeat(PIECES);
    text.as_bytes()
        .chunks(2)
        .take(PIECES)
        .map(<[u8]>::to_vec)
        .collect()
}

fn send_requests(
    record: &Record,
    client: usize,
    fronts: &[SocketAddr],
    end: Instant,
    faults: &Mutex<usize>,
) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("c{client}-{number}");
        let fields = format!(
            "Ryerouter-Model: {MODEL}\r\nRyerouter-Token-Counts: 4020,{PIECES}\r\n\
             Ryerouter-Prompt-Prefix: {:08x}:3000,{:08x}:1020\r\n",
            0x5c00_0000 + client,
            0x9100_0000 + 1_000 * client + number
        );
        let request = Request {
            method: "POST",
            path: "/verdict/shipment",
            id: &id,
            key: Some("key-1"),
            deadline: DEADLINE,
            fields: &fields,
            body: "the history of the shipment",
        };
        record.note(&format!("{id} is sent"));
        let answer = request.send(fronts[client % fronts.len()]);
        let ids = answer
            .as_ref()
            .map(|answer| ids(&answer.body))
            .unwrap_or_default();
        record.note(&format!(
            "{id} is answered: {}, {} pieces",
            status(&answer),
            ids.len()
        ));
        let is_complete = answer.is_ok_and(|answer| answer.is_whole && answer.head.status() == 200);
        let expected: Vec<usize> = (1..=ids.len()).collect();
        if ids != expected || is_complete && ids.len() != PIECES {
            *faults.lock().unwrap() += 1;
            record.note(&format!("ORDER: the pieces of {id} were {ids:?}"));
        }
    }
}

/// The ids of the pieces that came.
fn ids(body: &[u8]) -> Vec<usize> {
    let lines = body.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id: "));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.parse().ok())
        .collect()
}
