//! Bytes of each node over time.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::byte_kind::ByteKind;

/// Bytes that each node sends and receives, by windows.
#[derive(Debug)]
pub struct ByteMeter {
    current: Vec<u64>,
    windows: Histogram<u64>,
    total: u64,
    by_kind: BTreeMap<ByteKind, u64>,
    datagrams: u64,
    is_measuring: bool,
}

impl ByteMeter {
    /// Length of a window in seconds.
    pub const WINDOW_SECONDS: u64 = 10;
    const SIGNIFICANT_DIGITS: u8 = 3;

    /// A meter for `nodes` nodes.
    pub fn new(nodes: usize) -> Self {
        Self {
            current: vec![0; nodes],
            windows: Histogram::new(Self::SIGNIFICANT_DIGITS).expect("three digits are allowed"),
            total: 0,
            by_kind: BTreeMap::new(),
            datagrams: 0,
            is_measuring: false,
        }
    }

    /// Begins to measure.
    pub fn begin(&mut self) {
        self.current.fill(0);
        self.is_measuring = true;
    }

    /// A node sent or received bytes.
    pub fn count(&mut self, node: usize, kind: ByteKind, bytes: u64) {
        self.current[node] += bytes;
        if self.is_measuring {
            *self.by_kind.entry(kind).or_default() += bytes;
        }
    }

    /// Bytes of one kind that all nodes sent and received.
    pub fn total_of(&self, kind: ByteKind) -> u64 {
        self.by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// A node sent a datagram.
    pub fn count_datagram(&mut self) {
        self.datagrams += u64::from(self.is_measuring);
    }

    /// Ends a window of the nodes that `is_up` names.
    pub fn end_window(&mut self, is_up: impl Fn(usize) -> bool) {
        for (node, bytes) in self.current.iter_mut().enumerate() {
            if self.is_measuring && is_up(node) {
                self.windows
                    .record(*bytes / Self::WINDOW_SECONDS)
                    .expect("the histogram resizes itself");
                self.total += *bytes;
            }
            *bytes = 0;
        }
    }

    /// Bytes a second in the window at `quantile` of all windows of all nodes.
    pub fn bytes_per_second_at(&self, quantile: f64) -> u64 {
        self.windows.value_at_quantile(quantile)
    }

    /// Bytes a second, mean over all windows of all nodes.
    pub fn mean_bytes_per_second(&self) -> f64 {
        let seconds = self.windows.len() * Self::WINDOW_SECONDS;
        self.total as f64 / seconds.max(1) as f64
    }

    /// Datagrams that all nodes sent.
    pub fn datagrams(&self) -> u64 {
        self.datagrams
    }
}
