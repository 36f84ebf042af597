//! News of the stores of kept KV cache.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a store of kept KV cache answers, and in which life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KvStoreState {
    /// It answered and named its life.
    #[serde(rename = "u")]
    Up(u64),
    /// It did not answer.
    #[serde(rename = "d")]
    Down,
}

/// The state of one store, told by the node that asks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreUpdate(pub SocketAddr, pub KvStoreState);
