//! What a lease holder wants done.

use crate::control::StoreCall;

use super::HeldLease;

/// What a [`super::LeaseHolder`] wants done.
#[derive(Debug, Clone)]
pub enum LeaseAction {
    /// Call the object API; at most one call is open at a time.
    Call(StoreCall),
    /// The lease is held, until another time than before, or no longer.
    Changed(Option<HeldLease>),
}
