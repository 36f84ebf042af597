//! Runs the measurement.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::body::Incoming;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use super::load_result::LoadResult;
use super::overhead_node::OverheadNode;
use super::paced_engine::PacedEngines;
use super::process_memory::resident_bytes;
use super::stream_client::StreamClient;
use super::stream_load::{LEAD, run_load};
use super::thread_cpu::thread_cpu;
use super::{OverheadError, OverheadOptions, OverheadReport};

/// Name before the numbers of a node's traffic threads.
const TRAFFIC_THREADS: &str = "traffic-";
/// Threads of the back ends and of the callers, each.
const HELPER_THREADS: usize = 3;
/// Streams for each back end; a router starts with this many at once on one it does not know.
const STREAMS_PER_ENGINE: usize = 4;
/// Chunks of a stream in the latency and saturation parts.
const CHUNKS: u64 = 64;
/// Time between chunks in the saturation part: more than a core can pass on.
const SATURATED_INTERVAL: Duration = Duration::from_millis(2);
/// Rounds of direct and node in turn, so that a drift of the machine meets both.
const ROUNDS: usize = 2;
/// Time between chunks of an idle stream.
const IDLE_INTERVAL: Duration = Duration::from_secs(3_600);
/// Time for connections to close before the next part.
const SETTLE: Duration = Duration::from_millis(500);

/// Part of the idle streams, one in this many, that is opened before memory is measured.
const WARM_UP_PART: usize = 5;

/// An open stream: its connection and its body.
type IdleStream = (StreamClient, Incoming);

/// What one part measured directly and through the node.
#[derive(Default)]
struct Part {
    direct: LoadResult,
    node: LoadResult,
    cpu: Duration,
}

/// The back ends, the node and the callers.
struct Bench {
    options: OverheadOptions,
    origin: Instant,
    engines: PacedEngines,
    engine_addresses: Vec<SocketAddr>,
    // Back ends run on threads of their own, so that callers do not wait behind them.
    engine_runtime: Runtime,
}

/// Measures what a node adds.
///
/// # Errors
///
/// A socket, thread or file cannot be had, or no answer came.
pub fn run_overhead(options: OverheadOptions) -> Result<OverheadReport, OverheadError> {
    let callers = runtime("callers")?;
    let bench = Bench::start(options, &callers)?;
    let report = callers.block_on(bench.measure());
    bench.engine_runtime.shutdown_background();
    report
}

impl Bench {
    fn start(options: OverheadOptions, callers: &Runtime) -> Result<Self, OverheadError> {
        let engine_runtime = runtime("engines")?;
        let origin = callers.block_on(async { Instant::now() });
        let count = options.streams.div_ceil(STREAMS_PER_ENGINE);
        let engines = engine_runtime.block_on(PacedEngines::start(count, origin))?;
        Ok(Self {
            options,
            origin,
            engine_addresses: engines.addresses(),
            engines,
            engine_runtime,
        })
    }

    async fn measure(&self) -> Result<OverheadReport, OverheadError> {
        let paced = self.part(self.options.chunk_interval).await?;
        let saturated = self.part(SATURATED_INTERVAL).await?;
        let bytes_per_idle_stream = self.idle_memory().await?;
        for result in [
            &paced.direct,
            &paced.node,
            &saturated.direct,
            &saturated.node,
        ] {
            if result.answers == 0 || result.chunks == 0 {
                return Err(OverheadError::NoAnswers("in one of the parts"));
            }
        }
        let failures = [
            &paced.direct,
            &paced.node,
            &saturated.direct,
            &saturated.node,
        ];
        let failures = failures.iter().map(|result| result.failures).sum();
        let paced_cpu = paced.cpu.as_secs_f64();
        let requests = paced.node.chunks as f64 / CHUNKS as f64;
        Ok(OverheadReport {
            streams: self.options.streams,
            traffic_threads: self.options.traffic_threads,
            added_p50_us: added(&paced.direct.first_chunk, &paced.node.first_chunk, 0.50),
            added_p99_us: added(&paced.direct.first_chunk, &paced.node.first_chunk, 0.99),
            chunk_added_p50_us: added(&paced.direct.transit, &paced.node.transit, 0.50),
            chunk_added_p99_us: added(&paced.direct.transit, &paced.node.transit, 0.99),
            direct_p50_us: paced.direct.first_chunk.value_at_quantile(0.50),
            direct_p99_us: paced.direct.first_chunk.value_at_quantile(0.99),
            cpu_us_per_request: paced_cpu * 1e6 / requests,
            chunks_per_request: CHUNKS as f64,
            paced_chunks_per_second_per_core: paced.node.chunks as f64 / paced_cpu,
            chunks_per_second_per_core: saturated.node.chunks as f64 / saturated.cpu.as_secs_f64(),
            saturated_chunks_per_second: saturated.node.chunks_per_second(),
            throughput_ratio: saturated.node.chunks_per_second()
                / saturated.direct.chunks_per_second(),
            bytes_per_idle_stream,
            failures,
        })
    }

    async fn part(&self, interval: Duration) -> Result<Part, OverheadError> {
        self.engines.set_pace(CHUNKS, interval);
        let mut part = Part::default();
        let length = self.options.part / ROUNDS as u32;
        for _ in 0..ROUNDS {
            let direct = self.load(&self.engine_addresses, length).await;
            part.direct.add(&direct);
            let node = OverheadNode::start(&self.engine_addresses, self.options.traffic_threads)?;
            let (through, cpu) = self.node_load(&node, length).await?;
            part.node.add(&through);
            part.cpu += cpu;
            node.stop().await;
            tokio::time::sleep(SETTLE).await;
        }
        Ok(part)
    }

    async fn load(&self, targets: &[SocketAddr], length: Duration) -> LoadResult {
        run_load(targets, self.options.streams, length, self.origin).await
    }

    /// A load through the node, and processor time of the node's threads for the measured time.
    async fn node_load(
        &self,
        node: &OverheadNode,
        length: Duration,
    ) -> Result<(LoadResult, Duration), OverheadError> {
        let targets = [node.address()];
        let load = self.load(&targets, length);
        let cpu = cpu_during(length);
        let (result, cpu) = tokio::join!(load, cpu);
        Ok((result, cpu?))
    }

    /// Resident memory for each stream that nothing moves on, with the node less without it.
    ///
    /// All streams stay open until the end, so that no part uses memory another one gave back.
    async fn idle_memory(&self) -> Result<i64, OverheadError> {
        self.engines.set_pace(CHUNKS, IDLE_INTERVAL);
        let count = self.options.idle_streams;
        let node = OverheadNode::start(&self.engine_addresses, self.options.traffic_threads)?;
        let through_node = [node.address()];
        let warm_up = count.div_ceil(WARM_UP_PART);
        let mut held = self.open_idle(&self.engine_addresses, warm_up).await?;
        held.extend(self.open_idle(&through_node, warm_up).await?);
        let before = resident_bytes()?;
        held.extend(self.open_idle(&self.engine_addresses, count).await?);
        let between = resident_bytes()?;
        held.extend(self.open_idle(&through_node, count).await?);
        let after = resident_bytes()?;
        drop(held);
        let direct = between as i64 - before as i64;
        let through = after as i64 - between as i64;
        Ok((through - direct) / count as i64)
    }

    async fn open_idle(
        &self,
        targets: &[SocketAddr],
        count: usize,
    ) -> Result<Vec<IdleStream>, OverheadError> {
        let opens = (0..count).map(|number| {
            let target = targets[number % targets.len()];
            let mut client = StreamClient::new(target, self.origin, number);
            async move {
                let body = client.open().await?;
                Some((client, body))
            }
        });
        let open: Option<Vec<IdleStream>> = join_all(opens).await.into_iter().collect();
        open.ok_or(OverheadError::NoAnswers("on an idle stream"))
    }
}

/// Processor time of the traffic threads over the measured part of a load.
async fn cpu_during(length: Duration) -> io::Result<Duration> {
    tokio::time::sleep(LEAD).await;
    let before = thread_cpu(TRAFFIC_THREADS)?;
    tokio::time::sleep(length).await;
    Ok(thread_cpu(TRAFFIC_THREADS)?.saturating_sub(before))
}

fn added(
    direct: &hdrhistogram::Histogram<u64>,
    node: &hdrhistogram::Histogram<u64>,
    quantile: f64,
) -> i64 {
    node.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
}

fn runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(HELPER_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}
