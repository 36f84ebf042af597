//! The operator isolates a tenant whose parts of prompts are already kept.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::gateway::Gateways;
use crate::model::{MODEL, Model, configuration};
use crate::store::Store;
use crate::world::{Record, Request, status};

const DEADLINE: Duration = Duration::from_millis(10_000);
/// `configApplyMs`, and some time on top.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);
const ROUNDS: usize = 10;
/// The part that requests of all tenants begin with.
const HANDLING_PROTOCOL: &str = "5c1e07a2";

pub fn run(record: &Arc<Record>, is_troubled: bool) -> io::Result<bool> {
    let store = Store::default();
    store.put("config", "main", &configuration(7, 10_000, &tenants(false)));
    store.put(
        "versions",
        MODEL,
        &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"),
    );
    let pieces = vec![
        b" release".to_vec(),
        b" the".to_vec(),
        b" shipment".to_vec(),
    ];
    let model = Model::new(record, pieces, Duration::from_millis(20));
    for _ in 0..3 {
        model.start(&store, "v1")?;
    }
    let gateways = Gateways::start(2, store.serve()?)?;
    send_all(record, &gateways, "before", "callaghan", "key-1");
    let version = match is_troubled {
        true => configuration(12, 10_000, &tenants(true)),
        false => configuration(12, 9_000, &tenants(false)),
    };
    store.put("config", "main", &version);
    record.note(&format!(
        "version 12 is acknowledged; callaghan is {}isolated",
        if is_troubled { "" } else { "not " }
    ));
    let in_force_at = record.elapsed() + IN_FORCE_AFTER;
    thread::sleep(IN_FORCE_AFTER);
    send_all(record, &gateways, "after", "seafood", "key-2");
    let uses = model.uses.lock().unwrap();
    let mut broken = 0;
    for used in uses
        .iter()
        .filter(|used| used.at >= in_force_at && used.tenant != used.maker)
    {
        if is_troubled
            && [&used.tenant, &used.maker]
                .iter()
                .any(|tenant| *tenant == "callaghan")
        {
            broken += 1;
            record.note(&format!(
                "WALL: {} of {} used part {} that a request of {} made",
                used.request, used.tenant, used.part, used.maker
            ));
        }
    }
    record.note(&format!(
        "{} uses of kept parts, {broken} of them across the wall",
        uses.len()
    ));
    Ok(broken > 0)
}

fn send_all(record: &Record, gateways: &Gateways, when: &str, tenant: &str, key: &str) {
    for round in 0..ROUNDS {
        let id = format!("{when}-{round}");
        let own = format!("{:08x}", 0x9100_0000 + round + 256 * tenant.len());
        let fields = format!(
            "Ryerouter-Model: {MODEL}\r\nRyerouter-Token-Counts: 17020,30\r\n\
             Ryerouter-Prompt-Prefix: {HANDLING_PROTOCOL}:13300,{own}:3720\r\n"
        );
        let request = Request {
            method: "POST",
            path: "/verdict/shipment",
            id: &id,
            key: Some(key),
            deadline: DEADLINE,
            fields: &fields,
            body: "the history of the shipment",
        };
        record.note(&format!("{id} of {tenant} is sent"));
        let answer = request.send(gateways.fronts[round % gateways.fronts.len()]);
        record.note(&format!(
            "{id} of {tenant} is answered: {}",
            status(&answer)
        ));
    }
}

fn tenants(is_isolated: bool) -> String {
    format!(
        "[{{\"name\":\"callaghan\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"isolated\":{is_isolated}}},\
         {{\"name\":\"seafood\",\"apiKeys\":[\"key-2\"],\"priority\":1,\"isolated\":false}}]"
    )
}
