//! Description of one metric.

/// Description of one metric, from which it is registered and its documentation is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricDescription {
    /// Its name, with its unit.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// Its labels.
    pub labels: &'static [&'static str],
    /// What it tells.
    pub help: &'static str,
}

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
