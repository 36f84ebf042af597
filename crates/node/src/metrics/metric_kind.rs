//! Kinds of metrics.

/// Kinds of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Counts observations by size.
    Histogram,
}

impl MetricKind {
    /// Its name in documentation.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}
