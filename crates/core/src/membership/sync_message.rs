//! Exchange of tables.

use serde::{Deserialize, Serialize};

use super::{MemberRecord, TableRecords};

/// Exchange of tables over a stream: at join, and now and then between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// A starting node shows itself and asks for everything.
    #[serde(rename = "j")]
    Join {
        /// The starting node.
        #[serde(rename = "m")]
        member: MemberRecord,
    },
    /// Hashes of the sender's tables; the receiver answers with records where they differ.
    #[serde(rename = "d")]
    Digest {
        /// Hashes of the buckets of members.
        #[serde(rename = "m")]
        members: Vec<u32>,
        /// Hash of the tables of leaving back ends and machines.
        #[serde(rename = "l")]
        leaving: u32,
    },
    /// Records.
    #[serde(rename = "r")]
    Records(TableRecords),
}
