//! Messages about limits between router processes.

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::{LimitGrant, LimitRequest};

/// A message about limits between router processes.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum LimitMessage {
    /// Requests permits from an allocator.
    #[serde(rename = "a")]
    Request(LimitRequest),
    /// Grants permits to a client.
    #[serde(rename = "g")]
    Grant(LimitGrant),
    /// Asks another allocator of the group to confirm the group's epoch.
    #[from(skip)]
    #[serde(rename = "p")]
    Ping {
        /// Index of the group in the roster.
        group: usize,
        /// Epoch known to the sender.
        epoch: u64,
        /// Number of the confirmation round.
        round: u64,
    },
    /// Answers a ping with the epoch of the group.
    #[from(skip)]
    #[serde(rename = "o")]
    Pong {
        /// Index of the group in the roster.
        group: usize,
        /// Epoch known to the sender.
        epoch: u64,
        /// Number of the confirmation round.
        round: u64,
    },
}
