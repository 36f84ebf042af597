//! Tells other nodes at which version streams began.

use ryerouter_core::continuation::StreamId;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::peers::MemberAddress;

/// Streams of a pool that engines of one version began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The version.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
    /// The streams.
    #[serde(rename = "i")]
    pub streams: Vec<StreamId>,
    /// Whether the receiver writes them to the store.
    #[serde(rename = "j", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_to_be_stored: bool,
    /// The node to which the sender hands over what is to be stored of the first stream's shard, where it hears that node
    /// itself.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub writer: Option<MemberAddress>,
}
