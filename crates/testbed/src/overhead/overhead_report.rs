//! What a node adds.

use serde::Serialize;

use super::OverheadOptions;

/// What a node adds; its JSON form is one flat object.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    /// Streams at once.
    pub streams: usize,
    /// Traffic threads of the node.
    pub traffic_threads: usize,
    /// Added to the median time from a call to its first chunk, in microseconds.
    pub added_p50_us: i64,
    /// Added to the 99th percentile of the time from a call to its first chunk, in microseconds.
    pub added_p99_us: i64,
    /// Added to the median time of a later chunk on its way, in microseconds.
    pub chunk_added_p50_us: i64,
    /// Added to the 99th percentile of the time of a chunk on its way, in microseconds.
    pub chunk_added_p99_us: i64,
    /// Median time from a call to its first chunk without the node, in microseconds.
    pub direct_p50_us: u64,
    /// 99th percentile of it.
    pub direct_p99_us: u64,
    /// Processor time of the node's traffic threads for a request, its chunks included.
    pub cpu_us_per_request: f64,
    /// Chunks of each of those requests.
    pub chunks_per_request: f64,
    /// Chunks for a second of processor time of the traffic threads when every chunk comes by
    /// itself, at the pace of the latency part.
    pub paced_chunks_per_second_per_core: f64,
    /// Chunks for a second of processor time of the traffic threads under saturation.
    pub chunks_per_second_per_core: f64,
    /// Chunks a second through the node under saturation.
    pub saturated_chunks_per_second: f64,
    /// Chunks a second through the node against directly, under the same offered load.
    pub throughput_ratio: f64,
    /// Resident memory that the node takes for a stream on which nothing moves, in bytes.
    pub bytes_per_idle_stream: i64,
    /// Calls that failed, over all parts.
    pub failures: u64,
}

impl OverheadReport {
    /// The report as a table.
    pub fn table(&self, options: &OverheadOptions) -> String {
        let rows = [
            format!(
                "{} streams at once, a chunk every {:?} each, {} traffic thread(s)",
                self.streams, options.chunk_interval, self.traffic_threads
            ),
            row(
                "first chunk, added median",
                format!("{} us", self.added_p50_us),
            ),
            row(
                "first chunk, added 99th percentile",
                format!("{} us", self.added_p99_us),
            ),
            row(
                "later chunk, added median",
                format!("{} us", self.chunk_added_p50_us),
            ),
            row(
                "later chunk, added 99th percentile",
                format!("{} us", self.chunk_added_p99_us),
            ),
            row(
                "first chunk directly, median",
                format!("{} us", self.direct_p50_us),
            ),
            row(
                "first chunk directly, 99th percentile",
                format!("{} us", self.direct_p99_us),
            ),
            row(
                "processor time for a request",
                format!("{:.1} us", self.cpu_us_per_request),
            ),
            row(
                "chunks of a request",
                format!("{:.1}", self.chunks_per_request),
            ),
            row(
                "chunks for a core second, paced",
                format!("{:.0}", self.paced_chunks_per_second_per_core),
            ),
            row(
                "chunks for a core second, saturated",
                format!("{:.0}", self.chunks_per_second_per_core),
            ),
            row(
                "throughput against direct",
                format!("{:.3}", self.throughput_ratio),
            ),
            row(
                "memory for an idle stream",
                format!("{} bytes", self.bytes_per_idle_stream),
            ),
            row("failed calls", self.failures),
        ];
        rows.join("\n")
    }
}

fn row(name: &str, value: impl std::fmt::Display) -> String {
    format!("  {name:<42}{value:>16}")
}
