//! How a planned stop went.

/// How a planned stop went. Requests of callers are always finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Whether operators' calls were still under way when the time for them was over.
    pub operator_calls_cut: bool,
}
