//! A pool.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PoolKind;
use crate::identity::{PoolName, ResourceVersion};

/// Back ends that serve the same thing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name, unique among pools.
    pub name: PoolName,
    /// What it serves.
    #[serde(flatten)]
    pub kind: PoolKind,
    /// The store of kept KV cache that its engines share, if there is one.
    #[serde(default)]
    pub kv_store: Option<SocketAddr>,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}
