//! Message that reports the answers seen in a release.

use ryerouter_core::release::{Counts, Order};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an order in messages. It has only 32 bits, as the size of messages is limited.
pub type OrderKey = u32;

/// Computes the key of an order.
pub fn order_key(order: &Order) -> OrderKey {
    let (pool, target) = (order.pool.as_str(), &order.target);
    let text = format!("{pool}/{target}/{:?}/{}", order.ramp, order.made);
    xxh3_64(text.as_bytes()) as OrderKey
}

/// All answers that the sender has counted in a release since it learned of the release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceUpdate(pub OrderKey, pub Counts);
