//! What happens to a lease holder.

use std::time::Duration;

use crate::control::{StoreAnswer, StoreVersion};
use crate::identity::FencingNumber;

use super::LeaseRecord;

/// What happens to a [`super::LeaseHolder`].
#[derive(Debug, Clone)]
pub enum LeaseEvent {
    /// Whether this process should hold the lease if nobody does; due whenever that may change.
    Candidacy(bool),
    /// The object API answered the last call, or failed to.
    StoreAnswered(StoreAnswer),
    /// Another process told of the lease as the object API keeps it.
    Heard {
        /// What is written there.
        record: LeaseRecord,
        /// Its version.
        version: StoreVersion,
        /// How long ago some process saw it so, at least.
        age: Duration,
    },
    /// An engine has seen this newer number.
    Superseded(FencingNumber),
    /// The store answers in this era.
    Era(u64),
    /// Time passed; due about every 100 ms.
    Tick,
}
