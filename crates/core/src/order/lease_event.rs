//! What happens to a lease holder.

use crate::control::StoreAnswer;
use crate::identity::FencingNumber;

/// What happens to a [`super::LeaseHolder`].
#[derive(Debug, Clone)]
pub enum LeaseEvent {
    /// Whether this process should hold the lease if nobody does; due whenever that may change.
    Candidacy(bool),
    /// The object API answered the last call, or failed to.
    StoreAnswered(StoreAnswer),
    /// An engine has seen this newer number.
    Superseded(FencingNumber),
    /// Time passed; due about every 100 ms.
    Tick,
}
