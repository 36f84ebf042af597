//! The pool of plain service processes.

use serde::{Deserialize, Serialize};

/// The pool of plain service processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePoolSpec {
    /// Its name.
    pub name: String,
    /// Processes, spread over the zones in turn.
    pub processes: u32,
    /// Time one request takes.
    pub service_micros: u64,
    /// Requests a process works on at once.
    pub concurrency: u32,
}
