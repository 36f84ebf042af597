//! Keys of callers: what a configuration with fewer tenants, with none, or without a word of them means.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::TenantName;
use ryerouter_gateway::catalogue::{CallerLimits, RequestKind, Route, RoutingTable, Tenant};
use ryerouter_gateway::gateway::GatewaySettings;
use support::gateway_bench::{
    GatewayBench, configure, gateway_with, run, run_in_virtual_time, run_paused, settings,
};
use support::records::{HOST, engine, route, table, tenant};
use support::scripted_engine::ScriptedEngine;
use support::test_dialect::{ID, KEY, TENANT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use yare::parameterized;

const SERVED: u16 = 200;
const UNKNOWN: u16 = 401;

/// Names and keys of the tenants that a configuration lists; `None` if it says nothing of them.
type Listed = Option<&'static [(&'static str, &'static str)]>;

fn configuration(version: u64, listed: Listed) -> RoutingTable {
    let private = Route {
        is_public: false,
        ..route(RequestKind::Safe)
    };
    let pools = table(1, Vec::new()).pools().cloned().collect();
    let tenants = listed.map(|tenants| {
        let tenants = tenants.iter().map(|(name, key)| Tenant {
            name: TenantName::new(*name),
            keys: vec![(*key).to_owned()],
            ..tenant()
        });
        tenants.collect()
    });
    let limits = CallerLimits::default();
    RoutingTable::new(version, vec![private], pools, Vec::new(), tenants, limits)
}

fn keyed(requires_keys: bool) -> GatewaySettings {
    GatewaySettings {
        requires_keys,
        ..settings("node-1")
    }
}

const ONE: Listed = Some(&[("t1", "key-1")]);
const EMPTY_KEY: Listed = Some(&[("t1", "")]);
const NONE: Listed = Some(&[]);

/// Requests with keys that had been taken away, that nobody ever held, or without one ran once the last tenant was
/// removed. Statuses of requests with the first tenant's key, with another, with an empty one and with none.
#[parameterized(
    listed = { false, &[ONE], [SERVED, UNKNOWN, UNKNOWN, UNKNOWN] },
    last_one_removed = { false, &[ONE, NONE], [UNKNOWN; 4] },
    last_one_removed_and_back = { false, &[ONE, NONE, ONE], [SERVED, UNKNOWN, UNKNOWN, UNKNOWN] },
    none_from_the_start = { false, &[NONE], [UNKNOWN; 4] },
    empty_key = { false, &[EMPTY_KEY], [UNKNOWN; 4] },
    never_listed = { false, &[None], [SERVED; 4] },
    set_up_with_keys_and_never_listed = { true, &[None], [UNKNOWN; 4] },
    set_up_with_keys_and_gone = { true, &[ONE, None], [UNKNOWN; 4] },
    set_up_with_keys_and_emptied = { true, &[ONE, NONE], [UNKNOWN; 4] },
    set_up_with_keys_and_back = { true, &[ONE, None, ONE], [SERVED, UNKNOWN, UNKNOWN, UNKNOWN] },
)]
fn request_runs_only_with_a_key_that_is_listed(
    requires_keys: bool,
    configurations: &'static [Listed],
    expected: [u16; 4],
) {
    run(async move {
        let (first, address) = ScriptedEngine::start([]).await;
        let engines = vec![engine("e1", address, 1)];
        let bench = GatewayBench::start_with(keyed(requires_keys), None, engines).await;
        for (index, listed) in configurations.iter().enumerate() {
            configure(&bench.gateway, configuration(index as u64 + 1, *listed));
        }
        let mut statuses = Vec::new();
        for key in [Some("key-1"), Some("key-2"), Some(""), None] {
            let mut headers = vec![(ID, "r1")];
            headers.extend(key.map(|key| (KEY, key)));
            let answer = bench.call("GET", &headers, "").await;
            statuses.push(answer.status.as_u16());
        }
        assert_eq!(statuses, expected);
        let served = expected.iter().filter(|status| **status == SERVED);
        assert_eq!(first.arrivals.borrow().len(), served.count());
    });
}

/// Callers would find their requests refused at a node that is said to be ready, or run by one that can't know that
/// all keys have been taken away.
#[parameterized(
    listed = { false, ONE, false },
    none = { false, NONE, false },
    set_up_with_keys = { true, None, false },
    without_keys = { false, None, true },
)]
fn node_is_ready_without_a_recent_proof_only_if_no_key_is_needed(
    requires_keys: bool,
    listed: Listed,
    expected: bool,
) {
    let is_ready = run_paused(async move {
        let settings = GatewaySettings {
            max_unconfirmed_age: Some(Duration::from_secs(2)),
            ..keyed(requires_keys)
        };
        let node = gateway_with(settings);
        configure(&node, configuration(1, listed));
        support::gateway_bench::list_engines(&node, Vec::new());
        sleep(Duration::from_secs(10)).await;
        node.is_ready()
    });
    assert_eq!(is_ready, expected);
}

/// A key of two tenants counted for one of them without a word in the log.
#[test]
fn key_held_by_two_tenants_is_told() {
    let table = configuration(1, Some(&[("t1", "key-1"), ("t2", "key-1")]));
    let conflict = table.key_conflict().expect("told");
    assert_eq!(conflict.holder, table.tenant_of("key-1").unwrap().name);
    assert_eq!(conflict.other.as_str(), "t1");
    let sound = configuration(
        1,
        Some(&[("t1", "key-1"), ("t1", "key-1"), ("t2", "key-2")]),
    );
    assert_eq!(sound.key_conflict(), None);
}

#[test]
fn key_counts_for_the_tenant_that_holds_it_now() {
    run(async {
        let (first, address) = ScriptedEngine::start([]).await;
        let engines = vec![engine("e1", address, 1)];
        let bench = GatewayBench::start_with(keyed(true), None, engines).await;
        configure(&bench.gateway, configuration(1, ONE));
        configure(&bench.gateway, configuration(2, Some(&[("t2", "key-1")])));
        let answer = bench.call("GET", &[(ID, "r1"), (KEY, "key-1")], "").await;
        assert_eq!(answer.status.as_u16(), SERVED);
        let arrival = first.arrivals.borrow()[0].clone();
        assert_eq!(arrival.header(TENANT).as_deref(), Some("t2"));
    });
}

/// A node that had missed a configuration refused for good what the newest one allows: callers don't come back after
/// 401 and 404. Statuses of a request without a route, one with an unknown key, and one that is right by what is known.
#[parameterized(
    at_once = { 0, [404, 401, 200] },
    within_the_limit = { 2_500, [404, 401, 200] },
    beyond_the_limit = { 3_500, [503, 503, 200] },
    long_after = { 30_000, [503, 503, 200] },
)]
fn refusal_for_good_rests_on_a_recent_proof(age_ms: u64, expected: [u16; 3]) {
    run_in_virtual_time(async move {
        let (_engine, address) = ScriptedEngine::start([]).await;
        let engines = vec![engine("e1", address, 1)];
        let bench = GatewayBench::start_with(keyed(false), None, engines).await;
        configure(&bench.gateway, configuration(1, ONE));
        sleep(Duration::from_millis(age_ms)).await;
        for body in ["", "x"] {
            let mut statuses: Vec<u16> = Vec::new();
            for (host, key) in [("other.example", "key-1"), (HOST, "key-2"), (HOST, "key-1")] {
                let answer = ask(bench.address, host, key, body).await;
                let is_told = answer.contains("retry-after: ");
                assert_eq!(is_told, answer.contains(" 503 "), "{answer}");
                statuses.push(answer[9..12].parse().expect("status"));
            }
            assert_eq!(statuses, expected, "body '{body}'");
        }
    });
}

/// The text of the answer.
async fn ask(address: SocketAddr, host: &str, key: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let length = body.len();
    let text = format!(
        "POST /x HTTP/1.1\r\nhost: {host}\r\n{ID}: r1\r\n{KEY}: {key}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("answer");
    answer
}
