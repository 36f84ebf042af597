//! The port to the store of leases.

use futures_util::future::LocalBoxFuture;
use ryerouter_core::control::{StoreAnswer, StoreCall};

/// Reads and writes leases under conditions.
pub trait LeaseStore {
    /// Makes a call; a lost answer is [`StoreAnswer::Failed`].
    fn call(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreAnswer>;
}
