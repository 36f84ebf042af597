//! Connections of callers on which nothing moves end after their idle time, and no others do.

mod support;

use std::time::Duration;

use ryerouter_gateway::catalogue::{CallerLimits, RequestKind};
use support::gateway_bench::{GatewayBench, run};
use support::records::{engine, route, table_with_limits};
use support::scripted_engine::{ScriptedEngine, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};
use yare::parameterized;

const IDLE: Duration = Duration::from_millis(1_500);
/// Long beside the idle time.
const LONG: Duration = Duration::from_secs(20);
/// More than the system takes of one connection for a caller that reads slowly.
const ANSWER_BYTES: usize = 8_000_000;
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;
/// A caller reads so many bytes at once, then pauses.
const READ_BYTES: usize = 64 * 1_024;
const READ_PAUSE: Duration = Duration::from_millis(40);
const REQUEST: &str =
    "POST /x HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";

async fn bench(step: Step) -> GatewayBench {
    let (_engine, address) = ScriptedEngine::start([step]).await;
    let limits = CallerLimits {
        head_timeout: IDLE,
        idle_timeout: IDLE,
        ..CallerLimits::default()
    };
    let table = table_with_limits(1, vec![route(RequestKind::Unsafe)], limits);
    GatewayBench::start(Some(table), vec![engine("e1", address, 1)]).await
}

fn long_answer() -> Step {
    Step::Answer(200, "x".repeat(ANSWER_BYTES).leak())
}

async fn send(bench: &GatewayBench, text: &str) -> tokio::net::TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    let size = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    size.expect("receive buffer");
    let mut stream = socket.connect(bench.address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    stream
}

#[test]
fn answer_that_is_read_for_longer_than_the_idle_time_is_not_cut() {
    run(async {
        let bench = bench(long_answer()).await;
        let mut caller = send(&bench, REQUEST).await;
        let (mut count, mut buffer) = (0, vec![0; READ_BYTES]);
        while count < ANSWER_BYTES {
            match caller.read(&mut buffer).await {
                Ok(more @ 1..) => count += more,
                end => panic!("{end:?} after {count} bytes"),
            }
            sleep(READ_PAUSE).await;
        }
    });
}

#[parameterized(
    nothing = { "" },
    part_of_a_head = { "POST /x HT" },
    one_request = { REQUEST },
)]
fn connection_on_which_nothing_moves_is_closed_after_the_idle_time(text: &str) {
    run(async {
        let bench = bench(Step::Answer(200, "ok")).await;
        let mut caller = send(&bench, text).await;
        let end = timeout(LONG, caller.read_to_end(&mut Vec::new())).await;
        end.expect("ends after the idle time").expect("clean end");
    });
}
