//! A lease that this process holds.

use crate::identity::FencingNumber;
use crate::timestamp::Timestamp;

/// A lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Number that orders carry.
    pub fencing_number: FencingNumber,
    /// Nothing may be ordered at or after this time: a process that was paused must check it again
    /// right before it orders.
    pub valid_until: Timestamp,
}

impl HeldLease {
    /// Whether orders may be given now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }
}
