//! The operator takes away the last keys by removing their tenants from the configuration.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateways;
use crate::server::{Call, Server, Work};
use crate::store::Store;
use crate::world::{Record, Request, status};

/// `revokeMs`, and `configApplyMs` on top.
const REVOKED_AFTER: Duration = Duration::from_millis(7_000);
const DEADLINE: Duration = Duration::from_millis(2_500);
const ROUNDS: usize = 20;

/// The key with which a run was asked for, by the id of its request.
type Keys = Mutex<HashMap<String, &'static str>>;

struct Alerts {
    record: Arc<Record>,
    runs: Mutex<Vec<(String, String)>>,
}

impl Work for Alerts {
    fn run(&self, server: &Server, call: Call<'_>) -> io::Result<()> {
        let id = call.head.get("ryerouter-request-id").unwrap_or_default();
        let tenant = call.head.get("ryerouter-tenant").unwrap_or("none");
        self.record.note(&format!(
            "{} runs {id}, Ryerouter-Tenant: {tenant}",
            server.id
        ));
        self.runs
            .lock()
            .unwrap()
            .push((id.to_owned(), tenant.to_owned()));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRyerouter-Request-Id: {id}\r\nRyerouter-Server-Stamp: st.{}\r\nContent-Length: 2\r\n\r\nok",
            server.id
        );
        call.stream.write_all(answer.as_bytes())
    }
}

pub fn run(record: &Arc<Record>, is_troubled: bool) -> io::Result<bool> {
    let store = Store::default();
    let both = [("callaghan", "key-1"), ("seafood", "key-2")];
    store.put("config", "main", &configuration(7, &both, 1_200));
    let alerts = Arc::new(Alerts {
        record: Arc::clone(record),
        runs: Mutex::default(),
    });
    for _ in 0..3 {
        let work: Arc<dyn Work> = Arc::clone(&alerts) as _;
        Server::start(&store, "alert-svc", "v1", 6, "[]", work)?;
    }
    let gateways = Gateways::start(2, store.serve()?)?;
    let keys = Keys::default();
    send_all(record, &gateways, "before", &keys);
    thread::sleep(Duration::from_secs(1));
    let (first, second) = match is_troubled {
        true => (
            configuration(12, &both[..1], 1_200),
            configuration(15, &[], 1_200),
        ),
        // As many versions, which leave the tenants as they are.
        false => (
            configuration(12, &both, 1_300),
            configuration(15, &both, 1_400),
        ),
    };
    store.put("config", "main", &first);
    record.note("version 12 is acknowledged");
    thread::sleep(Duration::from_secs(2));
    store.put("config", "main", &second);
    record.note("version 15 is acknowledged");
    thread::sleep(REVOKED_AFTER);
    send_all(record, &gateways, "after", &keys);
    thread::sleep(DEADLINE);
    let (keys, runs) = (keys.into_inner().unwrap(), alerts.runs.lock().unwrap());
    let mut broken = 0;
    for (id, tenant) in runs.iter().filter(|(id, _)| id.starts_with("after")) {
        let key = keys.get(id).copied().unwrap_or_default();
        let rule = match key {
            "key-never-held" => "ROUTE: its key was never held by any configuration",
            "" => "UNASKED: it has no key",
            _ if is_troubled => "CONFIG: its key was taken away",
            _ => continue,
        };
        broken += 1;
        record.note(&format!(
            "{rule}: {id} with key '{key}' ran, Ryerouter-Tenant: {tenant}"
        ));
    }
    record.note(&format!(
        "{} requests ran, {broken} of them against a rule",
        runs.len()
    ));
    Ok(broken > 0)
}

fn send_all(record: &Record, gateways: &Gateways, when: &str, keys: &Keys) {
    for round in 0..ROUNDS {
        for (number, key) in ["key-1", "key-2", "key-never-held", ""]
            .into_iter()
            .enumerate()
        {
            let id = format!("{when}-{round}-{number}");
            keys.lock().unwrap().insert(id.clone(), key);
            let request = Request {
                method: "POST",
                path: "/breach/alert",
                id: &id,
                key: (!key.is_empty()).then_some(key),
                deadline: DEADLINE,
                fields: "",
                body: "pallet 7 has breached",
            };
            record.note(&format!("{id} is sent with key '{key}'"));
            let answer = request.send(gateways.fronts[round % gateways.fronts.len()]);
            record.note(&format!("{id} is answered: {}", status(&answer)));
        }
    }
}

fn configuration(version: u32, tenants: &[(&str, &str)], timeout_ms: u32) -> String {
    let tenants = tenants.iter();
    let tenants: Vec<_> = tenants
        .map(|(name, key)| {
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"isolated\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-breach\",\"host\":\"jepu9.example\",\"pathPrefix\":\"/breach/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"alert-svc\",\
         \"maxAttempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"alert-svc\",\"healthPath\":\"/health\",\
         \"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
