//! What the list of back ends tells of one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, Incarnation, PoolName, ZoneName};
use ryerouter_core::release::SoftwareVersion;
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
    /// Its name.
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
    /// Version of its software; empty when it tells none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: SoftwareVersion,
    /// How long after it was listed it stays slow from its start.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub cold_left: Duration,
    /// Which of its lives this is: it may begin again under the same name, and then holds and knows
    /// nothing of before. `None` when it does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}
