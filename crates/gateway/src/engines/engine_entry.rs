//! What the list of back ends tells of one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

/// Whether a back end takes new work, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// Takes new work.
    Ready,
    /// Leaves; finishes what it has.
    Draining,
}

/// One back end process in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Names one process: each start has another.
    pub name: BackEndName,
    /// The pool it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EngineState,
    /// Version of the weights of each model it serves.
    pub weights: BTreeMap<String, u64>,
    /// Orders that it has taken.
    pub orders_taken: u64,
}
