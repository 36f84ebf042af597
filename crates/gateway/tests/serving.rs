//! Requests through a gateway, with engines that fail in every way.

mod support;

use std::time::Duration;

use hyper::StatusCode;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::serve::ShutdownSettings;
use ryerouter_gateway::source::ItemKind;
use support::gateway_bench::{GatewayBench, run, settings};
use support::records::{KEY_OF_TENANT, engine, route, table};
use support::scripted_engine::{Arrival, ScriptedEngine, Step};
use support::test_dialect::{AFTER, ENGINE, ID, KEY, TENANT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use yare::parameterized;

type Headers = &'static [(&'static str, &'static str)];

const ONE: Headers = &[(ID, "r1")];
const PLAIN_REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\r\n";
/// Long beside what the gateway needs to accept a connection and look at it.
const A_WHILE: Duration = Duration::from_millis(50);

async fn bench(kind: RequestKind, first: &[Step], second: &[Step]) -> (GatewayBench, Engines) {
    bench_with_timeout(kind, first, second, Duration::from_secs(5)).await
}

struct Engines {
    first: std::rc::Rc<ScriptedEngine>,
    second: std::rc::Rc<ScriptedEngine>,
}

impl Engines {
    fn arrivals(&self) -> usize {
        self.first.arrivals.borrow().len() + self.second.arrivals.borrow().len()
    }
}

async fn bench_with_timeout(
    kind: RequestKind,
    first: &[Step],
    second: &[Step],
    timeout: Duration,
) -> (GatewayBench, Engines) {
    let (first, first_address) = ScriptedEngine::start(first.to_vec()).await;
    let (second, second_address) = ScriptedEngine::start(second.to_vec()).await;
    let mut route = route(kind);
    route.timeout = timeout;
    let entries = vec![
        engine("e1", first_address, 1),
        engine("e2", second_address, 1),
    ];
    let bench = GatewayBench::start(Some(table(1, vec![route])), entries).await;
    (bench, Engines { first, second })
}

#[test]
fn answer_is_passed_on_with_its_status_and_body() {
    run(async {
        let step = [Step::Answer(201, "made")];
        let (bench, _engines) = bench(RequestKind::Unsafe, &step, &step).await;
        let answer = bench.call("POST", ONE, "text").await;
        assert_eq!(answer.status, StatusCode::CREATED);
        assert_eq!(answer.body.as_deref(), Ok("made"));
    });
}

/// The log and a counter tell of it, so that a late copy can be told from other causes.
#[parameterized(
    current = { false, 0 },
    behind = { true, 1 },
)]
fn request_that_is_sent_by_an_old_list_is_counted(is_behind: bool, expected: u64) {
    run(async move {
        let step = [Step::Answer(200, "ran")];
        let (bench, _engines) = bench(RequestKind::Unsafe, &step, &step).await;
        let now = bench.gateway.clock().now();
        if is_behind {
            let mut state = bench.gateway.state_mut();
            state.replicas.of_mut(ItemKind::Engines).note_behind(now);
        }
        bench.call("POST", ONE, "text").await;
        assert_eq!(bench.gateway.metrics().sent_by_old_list.get(), expected);
        assert_eq!(
            bench.gateway.metrics().list_age_seconds.get_sample_count(),
            1
        );
    });
}

#[test]
fn engine_gets_method_path_and_expected_name() {
    run(async {
        let (bench, engines) = bench(RequestKind::Safe, &[], &[]).await;
        bench.call("GET", ONE, "").await;
        let mut arrivals = engines.first.arrivals.borrow().clone();
        arrivals.extend(engines.second.arrivals.borrow().clone());
        assert!(arrivals[0].head.starts_with("GET /item/1?x=2 HTTP/1.1"));
        assert!(["e1", "e2"].contains(&arrivals[0].header(ENGINE).unwrap().as_str()));
    });
}

#[test]
fn request_that_must_not_run_twice_is_not_sent_again_after_a_lost_answer() {
    run(async {
        let (bench, engines) = bench(RequestKind::Unsafe, &[Step::Close], &[Step::Close]).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(engines.arrivals(), 1);
    });
}

#[test]
fn timed_out_request_that_may_have_run_is_never_refused_as_not_run() {
    run(async {
        let timeout = Duration::from_millis(150);
        let silence = [Step::Silence];
        let (bench, engines) =
            bench_with_timeout(RequestKind::Unsafe, &silence, &silence, timeout).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(engines.arrivals(), 1);
    });
}

#[test]
fn engine_without_room_is_passed_over() {
    run(async {
        let (bench, engines) = bench(RequestKind::Unsafe, &[Step::NoRoom], &[Step::NoRoom]).await;
        let refused = bench.call("POST", ONE, "x").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.retry_after.is_some_and(|seconds| seconds > 0.0));
        assert_eq!(refused.id.as_deref(), Some("r1"));
        assert_eq!(engines.arrivals(), 2);
        let served = bench.call("POST", &[(ID, "r2")], "x").await;
        assert_eq!(served.status, StatusCode::OK);
    });
}

#[test]
fn answer_to_another_request_is_never_passed_on() {
    run(async {
        let foreign = [Step::Foreign];
        let (bench, _engines) = bench(RequestKind::Unsafe, &foreign, &foreign).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn safe_request_is_sent_again_after_a_foreign_answer_or_an_error() {
    run(async {
        for step in [Step::Foreign, Step::Answer(500, "broken"), Step::Close] {
            let (bench, engines) = bench(RequestKind::Safe, std::slice::from_ref(&step), &[]).await;
            for id in ["r1", "r2", "r3"] {
                let answer = bench.call("GET", &[(ID, id)], "").await;
                assert_eq!(answer.status, StatusCode::OK, "{step:?}");
            }
            assert!(engines.arrivals() >= 3);
        }
    });
}

#[test]
fn error_of_an_engine_is_passed_on_when_it_must_not_run_again() {
    run(async {
        let step = [Step::Answer(500, "broken")];
        let (bench, engines) = bench(RequestKind::Unsafe, &step, &step).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(answer.body.as_deref(), Ok("broken"));
        assert_eq!(engines.arrivals(), 1);
    });
}

#[test]
fn promise_of_not_run_without_the_mark_is_not_believed() {
    run(async {
        let step = [Step::Answer(503, "busy")];
        let (bench, engines) = bench(RequestKind::Unsafe, &step, &step).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(engines.arrivals(), 1);
    });
}

/// A stream was run again from an older event, or from its beginning, where the last events were no text by themselves.
#[parameterized(
    text = { &[b"id: 1\ndata: a\n\n", b"id: 2\nda"], &[b"id: 2\ndata: b\n\n"], "1" },
    half_of_a_character = { &[b"id: 1\ndata: \xe7\xbd\n\n"], &[b"id: 2\ndata: \x91\n\n"], "1" },
    half_of_a_character_behind_text = { &[b"id: 1\ndata: a\n\n", b"id: 2\ndata: \xe7\n\n"], &[b"id: 3\ndata: \xbd\x91\n\n"], "2" },
    half_of_a_character_at_once_with_text = { &[b"id: 1\ndata: a\n\nid: 2\ndata: \xe7\n\n"], &[b"id: 3\ndata: \xbd\x91\n\n"], "2" },
)]
fn broken_stream_goes_on_at_another_engine_after_the_last_whole_event(
    begin: &'static [&'static [u8]],
    rest: &'static [&'static [u8]],
    last_id: &'static str,
) {
    run(async move {
        let step = [Step::BreaksOnce(begin, rest)];
        let (bench, engines) = bench(RequestKind::Streaming, &step, &step).await;
        let answer = bench.call("POST", ONE, "x").await;
        let body = answer.body.expect("whole");
        let mut sent = begin.concat();
        sent.truncate(memchr::memmem::rfind(&sent, b"\n\n").expect("event") + 2);
        sent.extend(rest.concat());
        assert_eq!(body, String::from_utf8_lossy(&sent));
        assert_eq!(engines.arrivals(), 2);
        let mut arrivals = engines.first.arrivals.borrow().clone();
        arrivals.extend(engines.second.arrivals.borrow().clone());
        let after = |arrival: &Arrival| arrival.header(AFTER);
        let resumed: Vec<_> = arrivals.iter().filter_map(after).collect();
        assert_eq!(resumed, [last_id]);
    });
}

/// A stream was run again from the last event that had an id, so that callers got the later ones twice.
#[parameterized(
    no_id = { &[b"id: 1\ndata: a\n\n", b"data: b\n\n"] },
    empty_id = { &[b"id: 1\ndata: a\n\n", b"id:\ndata: b\n\n"] },
    id_that_is_no_text = { &[b"id: 1\ndata: a\n\n", b"id: \xe7\ndata: b\n\n"] },
    never_an_id = { &[b"data: a\n\n"] },
)]
fn broken_stream_whose_last_event_has_no_id_is_not_run_again(begin: &'static [&'static [u8]]) {
    run(async move {
        let step = [Step::BreaksOnce(begin, &[b"id: 2\ndata: c\n\n"])];
        let (bench, engines) = bench(RequestKind::Streaming, &step, &step).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.is_err(), "{answer:?}");
        assert_eq!(engines.arrivals(), 1);
    });
}

#[test]
fn stream_that_can_not_go_on_does_not_look_complete() {
    run(async {
        let step = [Step::BrokenEvents(&["id: 1\ndata: a\n\n"])];
        let (first, address) = ScriptedEngine::start(step).await;
        let mut only = route(RequestKind::Streaming);
        only.is_resumable = false;
        let entries = vec![engine("e1", address, 1)];
        let bench = GatewayBench::start(Some(table(1, vec![only])), entries).await;
        let answer = bench.call("POST", ONE, "x").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.is_err());
        assert_eq!(first.arrivals.borrow().len(), 1);
    });
}

#[test]
fn engine_learns_at_once_that_the_caller_left() {
    run(async {
        let silence = [Step::Silence];
        let (first, address) = ScriptedEngine::start(silence).await;
        let entries = vec![engine("e1", address, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        let stream = tokio::net::TcpStream::connect(bench.address).await.unwrap();
        let text = b"GET /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\r\n";
        stream.writable().await.unwrap();
        stream.try_write(text).unwrap();
        first.until_arrived(1).await;
        drop(stream);
        first.until_abandoned().await;
    });
}

#[test]
fn unknown_route_key_and_head_are_refused_with_a_reason() {
    run(async {
        let mut keyed = route(RequestKind::Safe);
        keyed.is_public = false;
        keyed.path_prefix = "/item/".to_owned();
        let (first, address) = ScriptedEngine::start([]).await;
        let entries = vec![engine("e1", address, 1)];
        let bench = GatewayBench::start(Some(table(1, vec![keyed])), entries).await;
        let cases: [(Headers, u16, &str); 4] = [
            (&[(ID, "r1")], 401, "missing"),
            (&[(ID, "r2"), (KEY, "wrong")], 401, "unknown"),
            (&[(KEY, KEY_OF_TENANT)], 400, "x-id"),
            (&[(ID, "r3"), (KEY, KEY_OF_TENANT)], 200, "ok"),
        ];
        for (headers, status, text) in cases {
            let answer = bench.call("GET", headers, "").await;
            assert_eq!(answer.status.as_u16(), status);
            assert!(answer.body.unwrap().contains(text));
        }
        let arrival = first.arrivals.borrow()[0].clone();
        assert_eq!(arrival.header(TENANT).as_deref(), Some("tenant-1"));
        assert_eq!(arrival.header(KEY), None);
    });
}

#[test]
fn body_that_is_too_long_is_refused_and_the_process_goes_on() {
    run(async {
        let (bench, engines) = bench(RequestKind::Unsafe, &[], &[]).await;
        let answer = bench.call("POST", ONE, &"x".repeat(2_000)).await;
        assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(engines.arrivals(), 0);
        let answer = bench.call("POST", &[(ID, "r2")], "x").await;
        assert_eq!(answer.status, StatusCode::OK);
    });
}

#[test]
fn node_without_configuration_refuses_and_tells_when_to_come_back() {
    run(async {
        let bench = GatewayBench::start(None, Vec::new()).await;
        let answer = bench.call("GET", ONE, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.retry_after.is_some());
        assert!(!bench.gateway.is_ready());
    });
}

#[test]
fn route_without_a_pool_refuses_and_tells_when_to_come_back() {
    run(async {
        let mut empty = route(RequestKind::Safe);
        empty.pools = Vec::new();
        let bench = GatewayBench::start(Some(table(1, vec![empty])), Vec::new()).await;
        let answer = bench.call("GET", ONE, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn key_is_refused_while_the_configuration_is_not_proven_current() {
    run(async {
        let mut keyed = route(RequestKind::Safe);
        keyed.is_public = false;
        let (_engine, address) = ScriptedEngine::start([]).await;
        let mut settings = settings("node-1");
        settings.max_unconfirmed_age = Some(Duration::ZERO);
        let entries = vec![engine("e1", address, 1)];
        let routes = vec![keyed];
        let bench = GatewayBench::start_with(settings, Some(table(1, routes)), entries).await;
        let headers = [(ID, "r1"), (KEY, KEY_OF_TENANT)];
        let answer = bench.call("GET", &headers, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.body.unwrap().contains("configuration_unproven"));
    });
}

#[test]
fn planned_stop_finishes_what_runs_and_closes_idle_connections() {
    run(async {
        let (first, address) = ScriptedEngine::start([Step::Events(&["id: 1\ndata: a\n\n"])]).await;
        let entries = vec![engine("e1", address, 1)];
        let table = table(1, vec![route(RequestKind::Streaming)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        let response = bench.begin("POST", ONE, "x").await;
        bench.gateway.leave();
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert_eq!(&body.expect("whole").to_bytes()[..], b"id: 1\ndata: a\n\n");
        assert!(!bench.gateway.is_ready());
        assert_eq!(first.arrivals.borrow().len(), 1);
    });
}

#[test]
fn stopping_node_takes_no_late_caller_while_requests_still_run() {
    run(async {
        let (first, address) = ScriptedEngine::start([Step::Silence]).await;
        let entries = vec![engine("e1", address, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        let running = tokio::net::TcpStream::connect(bench.address).await.unwrap();
        running.writable().await.unwrap();
        let text = b"GET /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\r\n";
        running.try_write(text).unwrap();
        first.until_arrived(1).await;
        let stop = bench.stop(ShutdownSettings {
            accept_grace: Duration::from_millis(50),
            grace: Duration::from_secs(60),
        });
        while tokio::net::TcpStream::connect(bench.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(!stop.is_finished());
        drop(running);
        stop.await.unwrap();
    });
}

/// A caller that was sent here before the stop may need a while for its request.
#[test]
fn request_that_follows_its_connection_later_is_answered_while_a_stopping_node_accepts() {
    run(async {
        let (_engine, address) = ScriptedEngine::start([]).await;
        let entries = vec![engine("e1", address, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        let _stop = bench.stop(ShutdownSettings {
            accept_grace: Duration::from_secs(60),
            grace: Duration::from_secs(60),
        });
        let mut caller = TcpStream::connect(bench.address).await.unwrap();
        // The node has looked at the connection meanwhile.
        sleep(A_WHILE).await;
        caller.write_all(PLAIN_REQUEST).await.expect("write");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.expect("answer");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
    });
}

/// A request that comes later could be cut at the end of the grace period.
#[test]
fn connection_without_a_request_is_closed_once_a_stopping_node_accepts_no_more() {
    run(async {
        let (first, address) = ScriptedEngine::start([Step::Silence]).await;
        let entries = vec![engine("e1", address, 1)];
        let table = table(1, vec![route(RequestKind::Safe)]);
        let bench = GatewayBench::start(Some(table), entries).await;
        let mut running = TcpStream::connect(bench.address).await.unwrap();
        running.write_all(PLAIN_REQUEST).await.expect("write");
        first.until_arrived(1).await;
        let mut unused = TcpStream::connect(bench.address).await.unwrap();
        let stop = bench.stop(ShutdownSettings {
            accept_grace: A_WHILE,
            grace: Duration::from_secs(60),
        });
        assert_eq!(unused.read(&mut [0; 1]).await.expect("end"), 0);
        assert!(!stop.is_finished());
        drop(running);
        stop.await.unwrap();
    });
}
