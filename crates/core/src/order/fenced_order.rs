//! An order with its fencing number.

use serde::{Deserialize, Serialize};

use crate::identity::FencingNumber;

use super::EngineOrder;

/// Body of `POST /v1/orders`; the engine refuses a number older than the newest it has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Number of the lease under which it is given.
    pub fencing_number: FencingNumber,
    /// The order.
    pub order: EngineOrder,
}
