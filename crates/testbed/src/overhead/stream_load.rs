//! Many streams at once.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::load_result::LoadResult;
use super::stream_client::StreamClient;

/// Time over which streams start, so that they are spread evenly.
const START_SPREAD: Duration = Duration::from_millis(500);
/// Time after the last start that is left out of the measurement.
const WARM_UP: Duration = Duration::from_millis(1_000);

/// Time from the start of a load to the start of its measurement.
pub const LEAD: Duration = START_SPREAD.saturating_add(WARM_UP);

/// Keeps `streams` streams open at the targets, in turn, and measures for `length`.
pub async fn run_load(
    targets: &[SocketAddr],
    streams: usize,
    length: Duration,
    origin: Instant,
) -> LoadResult {
    let start = Instant::now();
    let from = start + LEAD;
    let until = from + length;
    let clients = (0..streams).map(|number| {
        let target = targets[number % targets.len()];
        let client = StreamClient::new(target, origin, number);
        let due = start + START_SPREAD * number as u32 / streams as u32;
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            client.run(from, until).await
        })
    });
    let mut total = LoadResult::default();
    for result in join_all(clients).await {
        total.add(&result.expect("a client does not panic"));
    }
    total.elapsed = length;
    total
}
