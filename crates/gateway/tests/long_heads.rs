//! Heads of requests that are longer than the built-in limit, but within the configured one.

mod support;

use std::time::Duration;

use ryerouter_gateway::catalogue::{CallerLimits, RequestKind, RoutingTable};
use ryerouter_gateway::connections::listen;
use ryerouter_gateway::telemetry::serve_metrics;
use support::gateway_bench::{GatewayBench, configure, gateway, run};
use support::records::{engine, route, table_with_limits};
use support::scripted_engine::ScriptedEngine;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const HEAD_BYTES: usize = 64 * 1_024;
const LONG_VALUE_BYTES: usize = 32 * 1_024;
/// Long beside what the gateway needs to accept a connection.
const A_WHILE: Duration = Duration::from_millis(50);
/// Longest wait for an answer.
const LONG: Duration = Duration::from_secs(10);

fn configuration() -> RoutingTable {
    let limits = CallerLimits {
        head_bytes: HEAD_BYTES,
        ..CallerLimits::default()
    };
    table_with_limits(1, vec![route(RequestKind::Safe)], limits)
}

async fn unconfigured() -> GatewayBench {
    let (_engine, address) = ScriptedEngine::start([]).await;
    GatewayBench::start(None, vec![engine("e1", address, 1)]).await
}

/// Sends a request with this value of a header, and reads what comes until the end.
async fn ask(caller: &mut TcpStream, value: &str) -> String {
    let request = format!(
        "GET /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nconnection: close\r\nx-more: {value}\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.expect("write");
    let mut answer = String::new();
    let read = timeout(LONG, caller.read_to_string(&mut answer)).await;
    read.expect("in time").expect("answer");
    answer
}

#[test]
fn long_head_is_read_on_a_connection_that_is_older_than_the_configuration() {
    run(async {
        let bench = unconfigured().await;
        let mut caller = TcpStream::connect(bench.address).await.expect("connect");
        sleep(A_WHILE).await;
        configure(&bench.gateway, configuration());
        let answer = ask(&mut caller, &"x".repeat(LONG_VALUE_BYTES)).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

/// It would keep the built-in limits.
#[test]
fn connection_that_was_used_before_the_configuration_came_is_not_kept() {
    run(async {
        let bench = unconfigured().await;
        let mut caller = TcpStream::connect(bench.address).await.expect("connect");
        let request = b"GET /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\n\r\n";
        caller.write_all(request).await.expect("write");
        let mut answer = String::new();
        let read = timeout(LONG, caller.read_to_string(&mut answer)).await;
        read.expect("closed in time").expect("answer");
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    });
}

#[test]
fn connection_without_a_request_is_closed_when_a_node_without_configuration_stops() {
    run(async {
        let bench = unconfigured().await;
        let mut caller = TcpStream::connect(bench.address).await.expect("connect");
        sleep(A_WHILE).await;
        let stop = bench.stop(ryerouter_gateway::serve::ShutdownSettings {
            accept_grace: Duration::ZERO,
            grace: LONG,
        });
        let end = timeout(LONG, caller.read(&mut [0; 1])).await;
        assert_eq!(end.expect("in time").expect("clean end"), 0);
        stop.await.expect("stop");
    });
}

async fn metrics() -> TcpStream {
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("listener");
    let address = listener.local_addr().expect("address");
    spawn_local(serve_metrics(gateway("node-1"), listener, "/x".into()));
    TcpStream::connect(address).await.expect("connect")
}

/// A node kept some 400 kB of such a head on each connection, and waited for the rest.
#[test]
fn head_without_end_to_the_metrics_ends_the_connection() {
    run(async {
        let mut caller = metrics().await;
        let field = format!("x-more: {}\r\n", "x".repeat(1_000));
        let head = format!("GET /x HTTP/1.1\r\n{}", field.repeat(100));
        caller.write_all(head.as_bytes()).await.expect("write");
        let mut answer = Vec::new();
        // What was not read makes the system reset the connection.
        let ended = timeout(LONG, caller.read_to_end(&mut answer)).await;
        assert!(ended.is_ok(), "the connection is open");
    });
}

#[test]
fn metrics_are_told_to_a_question_with_a_long_field() {
    run(async {
        let answer = ask(&mut metrics().await, &"x".repeat(8_000)).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}
