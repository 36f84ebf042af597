//! A lease as the object API keeps it.

use serde::{Deserialize, Serialize};

use crate::identity::{FencingNumber, Incarnation, NodeName};

/// A lease as the object API keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it; `None` when its last holder gave it up.
    pub holder: Option<NodeName>,
    /// The holder's process.
    pub incarnation: Incarnation,
    /// Rises with each holder; orders carry it.
    pub fencing_number: FencingNumber,
    /// Rises with each write of one holder, so that a candidate sees that it is renewed.
    pub renewal: u64,
}
