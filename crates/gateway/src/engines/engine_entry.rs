//! Entries of the list of back ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, Incarnation, PoolName, ZoneName};
use ryerouter_core::release::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Whether a back end accepts new requests, as it declares itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// Accepts new requests.
    Ready,
    /// Shuts down; completes the requests it has.
    Draining,
}

/// One back end process in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Unique name of the back end.
    pub name: BackEndName,
    /// The pool that the back end serves.
    pub pool: PoolName,
    /// Address of the back end.
    pub address: SocketAddr,
    /// The zone in which the back end runs.
    pub zone: ZoneName,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Whether the back end accepts new requests.
    pub state: EngineState,
    /// Version of the weights of each model that the back end serves.
    pub weights: BTreeMap<String, u64>,
    /// Number of orders to load weights that the back end has accepted.
    pub orders_taken: u64,
    /// Version of the software; empty if the back end doesn't report one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: SoftwareVersion,
    /// Time after listing for which the back end is still slow after its start.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub cold_left: Duration,
    /// Incarnation of the back end. It may restart under the same name and then has lost all of its
    /// former state. `None` if the back end doesn't report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
}
