//! Asks other nodes at which version a stream began.

use std::net::SocketAddr;

use ryerouter_core::continuation::StreamId;
use ryerouter_core::identity::PoolName;
use serde::{Deserialize, Serialize};

/// Asks at which version a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question; the answers repeat it.
    #[serde(rename = "n")]
    pub number: u64,
    /// The stream.
    #[serde(rename = "i")]
    pub stream: StreamId,
    /// Its pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Who asked, if another node passes the question on.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub asker: Option<SocketAddr>,
}
