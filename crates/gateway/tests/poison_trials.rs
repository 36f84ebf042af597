//! Trials of requests that are held back. After all nodes had been killed a good request was held back, its trial met an
//! engine that had just ended, told nothing, and the next was due ten seconds later, and then ten minutes: `120 of 159`
//! requests served at the end.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::poison::{Crash, Digest, Verdict};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::poison;
use support::crashing_engine::CrashingPool;
use support::gateway_bench::{GatewayBench, list_engines, run};
use support::records::{HOST, engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::ID;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// A request in doubt is tried so long after the last end.
const UNTIL_TRIAL: Duration = Duration::from_secs(6);

/// Ends that lie so far apart are not one.
const APART: Duration = Duration::from_millis(60);

fn digest_of(body: &'static str) -> Digest {
    let uri = "/item/1?x=2".parse().expect("path");
    poison::digest(None, HOST.as_bytes(), &uri, &Bytes::from(body))
}

/// Three engines ended under a request, one of whose runs broke off at once: it is time for its trial.
fn hold_back(gateway: &Rc<Gateway>, body: &'static str) {
    let now = gateway.clock().now();
    for number in 0..3 {
        let ended = now.before(UNTIL_TRIAL + Duration::from_secs(number));
        let crash = Crash {
            engine: BackEndName::new(format!("former-{number}")),
            incarnation: None,
            began: ended.before(Duration::from_millis(1)),
            ended,
            is_unproven: false,
        };
        gateway.note_poison_crash(digest_of(body), crash);
    }
    let verdict = gateway.poison_verdict_of(&[digest_of(body)]);
    assert_eq!(verdict, Verdict::Trial);
}

/// An address that refuses connections.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("address")
}

async fn start(entries: Vec<EngineEntry>) -> GatewayBench {
    let table = table(1, vec![route(RequestKind::Safe)]);
    GatewayBench::start(Some(table), entries).await
}

fn entries(addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<EngineEntry> {
    let addresses = addresses.into_iter().enumerate();
    let entry = |(index, address)| engine(&format!("e{index}"), address, 1);
    addresses.map(entry).collect()
}

/// Guards against a trial that is used up at an engine which nothing reaches.
#[test]
fn trial_that_reaches_no_engine_is_made_at_the_next_one() {
    run(async {
        for body in ["one", "two", "three", "four", "five", "six"] {
            let pool = CrashingPool::start(1).await;
            let dead = [closed_address().await, closed_address().await];
            let addresses = dead.into_iter().chain(pool.addresses().into_values());
            let bench = start(entries(addresses)).await;
            hold_back(&bench.gateway, body);
            let answer = bench.call("POST", &[(ID, "r")], body).await;
            assert!(answer.status.is_success(), "{body}: {answer:?}");
            assert!(!bench.gateway.state().poison.is_blocked(digest_of(body)));
        }
    });
}

/// Guards against a trial that is used up at an engine which has ended: it is made as soon as one is there that can tell.
#[test]
fn trial_waits_for_an_engine_that_has_not_ended() {
    run(async {
        let pool = CrashingPool::start(1).await;
        let ended = entries([closed_address().await]);
        let bench = start(ended.clone()).await;
        hold_back(&bench.gateway, "good");
        note_crashed(&bench.gateway, &ended[0].name);
        let answer = bench.call("POST", &[(ID, "r1")], "good").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let seconds = answer.retry_after.expect("time to come back");
        assert!(seconds < 1.0, "{seconds}");
        let new = engine_named("e9", &pool);
        list_engines(&bench.gateway, vec![ended[0].clone(), new]);
        let answer = bench.call("POST", &[(ID, "r2")], "good").await;
        assert!(answer.status.is_success(), "{answer:?}");
    });
}

fn note_crashed(gateway: &Gateway, name: &BackEndName) {
    let now = gateway.clock().now();
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(name);
    engine.expect("engine").note_crashed(now, now);
}

fn engine_named(name: &str, pool: &CrashingPool) -> EngineEntry {
    let address = pool.addresses().into_values().next();
    engine(name, address.expect("engine"), 1)
}

/// Guards against a good request that is held back after all nodes were killed: engines that had ended a moment before were
/// still listed, and closed what was sent to them within a millisecond (`after_ms=0`, `in_a_row=3`, `held_back=true`).
#[test]
fn request_that_a_new_node_sends_to_engines_that_had_ended_is_not_held_back() {
    run(async {
        let mut addresses = Vec::new();
        for _ in 0..6 {
            addresses.push(ScriptedEngine::start(vec![Step::Close; 8]).await.1);
        }
        let pool = CrashingPool::start(1).await;
        let bench = start(entries(addresses)).await;
        for number in 0..6 {
            bench
                .call("POST", &[(ID, &format!("r{number}"))], "good")
                .await;
            sleep(APART).await;
        }
        list_engines(&bench.gateway, vec![engine_named("e9", &pool)]);
        let answer = bench.call("POST", &[(ID, "last")], "good").await;
        assert!(answer.status.is_success(), "{answer:?}");
    });
}
