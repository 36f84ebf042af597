//! Messages about limits between router processes.

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::{LimitGrant, LimitRequest};

/// A message about limits between router processes.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum LimitMessage {
    /// To a bank: tickets wanted.
    #[serde(rename = "a")]
    Request(LimitRequest),
    /// From a bank: tickets granted.
    #[serde(rename = "g")]
    Grant(LimitGrant),
    /// To another bank of the group: confirm that the group is at this epoch.
    #[from(skip)]
    #[serde(rename = "p")]
    Ping {
        /// Position of the group in the roster.
        group: usize,
        /// The epoch.
        epoch: u64,
        /// Number of the question.
        round: u64,
    },
    /// From another bank of the group: the group is at this epoch.
    #[from(skip)]
    #[serde(rename = "o")]
    Pong {
        /// Position of the group in the roster.
        group: usize,
        /// The epoch.
        epoch: u64,
        /// Number of the question.
        round: u64,
    },
}
