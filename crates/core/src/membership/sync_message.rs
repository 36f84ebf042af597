//! Exchange of tables.

use serde::{Deserialize, Serialize};

use super::{LeavingRecord, MemberRecord};

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
    /// Hashes of the sender's tables, one a bucket; the receiver answers with records of buckets
    /// that differ.
    #[serde(rename = "d")]
    Digest {
        /// Hashes of member buckets.
        #[serde(rename = "m")]
        members: Vec<u32>,
        /// Hash of the table of leaving back ends.
        #[serde(rename = "l")]
        leaving: u32,
    },
    /// Records.
    #[serde(rename = "r")]
    Records {
        /// Members.
        #[serde(rename = "m")]
        members: Vec<MemberRecord>,
        /// Leaving back ends.
        #[serde(rename = "l")]
        leaving: Vec<LeavingRecord>,
        /// Buckets of members for which the sender wants the receiver's records in turn.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        wanted: Vec<u16>,
    },
}
