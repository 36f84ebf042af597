//! Description of one metric.

use super::MetricKind;

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
