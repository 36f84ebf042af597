//! Log lines about engines that are ejected and serve again.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, Incarnation};
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{Engine, EngineEntry};
use ryerouter_gateway::gateway::Gateway;
use support::gateway_bench::{GatewayBench, gateway_logging_to, list_engines, run, run_paused};
use support::log_lines::{LogLines, value};
use support::records::{engine, route, table};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::ID;
use tokio::net::TcpListener;
use tokio::time::advance;
use yare::parameterized;

fn entry(name: &str, incarnation: u64) -> EngineEntry {
    let mut entry = engine(name, "127.0.0.1:1".parse().unwrap(), 1);
    entry.incarnation = Some(Incarnation(incarnation));
    entry
}

fn update(gateway: &Gateway, name: &str, cause: &str, change: impl FnOnce(&mut Engine)) {
    let mut state = gateway.state_mut();
    let engine = state.engines.get_mut(&BackEndName::new(name)).unwrap();
    gateway.update_health(engine, &cause, Some("r1"), change);
}

fn eject(gateway: &Gateway, name: &str) {
    let now = gateway.clock().now();
    update(gateway, name, "not_connected", |engine| {
        engine.health.unreachable(now);
    });
}

fn start(lines: &LogLines) -> Rc<Gateway> {
    let gateway = gateway_logging_to(lines);
    list_engines(&gateway, vec![entry("e1", 1)]);
    gateway
}

#[test]
fn ejection_is_logged_once_and_so_is_its_end() {
    run_paused(async {
        let lines = LogLines::default();
        let gateway = start(&lines);
        eject(&gateway, "e1");
        advance(Duration::from_millis(40)).await;
        // The other requests that were on their way to it fail as well.
        eject(&gateway, "e1");
        let ejected = lines.of("engine_ejected");
        assert_eq!(ejected.len(), 1, "{ejected:?}");
        assert_eq!(value(&ejected[0], "engine"), Some("e1"));
        assert_eq!(value(&ejected[0], "by"), Some("not_connected"));
        assert_eq!(value(&ejected[0], "for_ms"), Some("250"));
        assert_eq!(value(&ejected[0], "request"), Some("r1"));
        assert_eq!(lines.of("engine_back").len(), 0);
        advance(Duration::from_millis(960)).await;
        let answer = || update(&gateway, "e1", "answer", |engine| engine.health.answered());
        answer();
        answer();
        let back = lines.of("engine_back");
        assert_eq!(back.len(), 1, "{back:?}");
        assert_eq!(value(&back[0], "by"), Some("answer"));
        assert_eq!(value(&back[0], "after_ms"), Some("1000"));
    });
}

#[test]
fn engine_that_fails_its_probe_is_back_after_the_whole_time() {
    run_paused(async {
        let lines = LogLines::default();
        let gateway = start(&lines);
        eject(&gateway, "e1");
        advance(Duration::from_millis(300)).await;
        let now = gateway.clock().now();
        update(&gateway, "e1", "probe", |engine| {
            engine.health.probe_sent(now);
        });
        eject(&gateway, "e1");
        let ejected = lines.of("engine_ejected");
        let expiries: Vec<_> = ejected.iter().map(|line| value(line, "for_ms")).collect();
        assert_eq!(expiries, [Some("250"), Some("500")]);
        advance(Duration::from_millis(600)).await;
        update(&gateway, "e1", "answer", |engine| engine.health.answered());
        assert_eq!(value(&lines.of("engine_back")[0], "after_ms"), Some("900"));
    });
}

#[parameterized(
    ejected = { true, 1 },
    serving = { false, 0 },
)]
fn engine_that_restarts_is_back_if_it_was_ejected(is_ejected: bool, expected: usize) {
    run_paused(async move {
        let lines = LogLines::default();
        let gateway = start(&lines);
        if is_ejected {
            eject(&gateway, "e1");
        }
        list_engines(&gateway, vec![entry("e1", 2)]);
        let back = lines.of("engine_back");
        assert_eq!(back.len(), expected, "{back:?}");
        let causes = back.iter().map(|line| value(line, "by"));
        assert!(causes.into_iter().all(|cause| cause == Some("restart")));
    });
}

#[test]
fn lines_are_bounded_and_the_next_one_counts_those_left_out() {
    run_paused(async {
        let lines = LogLines::default();
        let gateway = gateway_logging_to(&lines);
        let names: Vec<_> = (0..50).map(|index| format!("e{index}")).collect();
        let entries = names.iter().map(|name| entry(name, 1)).collect();
        list_engines(&gateway, entries);
        for name in &names[..49] {
            eject(&gateway, name);
        }
        assert_eq!(lines.of("engine_ejected").len(), 20);
        advance(Duration::from_secs(1)).await;
        eject(&gateway, &names[49]);
        let ejected = lines.of("engine_ejected");
        assert_eq!(ejected.len(), 21);
        assert_eq!(value(&ejected[20], "left_out"), Some("29"));
    });
}

#[test]
fn request_that_finds_an_engine_unreachable_is_named() {
    run(async {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let (_engine, answering) = ScriptedEngine::start(vec![Step::Answer(200, "ran")]).await;
        let lines = LogLines::default();
        let entries = vec![engine("e1", address, 1), engine("e2", answering, 1)];
        let routes = Some(table(1, vec![route(RequestKind::Safe)]));
        let bench = GatewayBench::serve(gateway_logging_to(&lines), routes, entries).await;
        let mut id = 0;
        while lines.of("engine_ejected").is_empty() {
            id += 1;
            assert!(id < 100, "engine e1 got no request");
            bench.call("GET", &[(ID, &format!("r{id}"))], "").await;
        }
        let ejected = lines.of("engine_ejected");
        assert_eq!(value(&ejected[0], "engine"), Some("e1"));
        let expected = format!("r{id}");
        assert_eq!(value(&ejected[0], "request"), Some(expected.as_str()));
        let cause = value(&ejected[0], "by").unwrap();
        assert!(cause.contains("not_connected"), "{cause}");
    });
}
