//! News of answers that nodes have seen in a release.

use ryerouter_core::release::{Counts, Order};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Stands for an order in messages, where each byte counts.
pub type OrderKey = u32;

/// The key of an order.
pub fn order_key(order: &Order) -> OrderKey {
    let (pool, target) = (order.pool.as_str(), &order.target);
    let text = format!("{pool}/{target}/{:?}/{}", order.ramp, order.made);
    xxh3_64(text.as_bytes()) as OrderKey
}

/// All that the sender has seen in a release since it heard of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceUpdate(pub OrderKey, pub Counts);
