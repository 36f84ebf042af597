//! A set of keys in the object API.

use derive_more::Display;

use super::object_key::{LEASE_PREFIX, LOG_PREFIX, STATUS_PREFIX};

/// A set of keys in the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ObjectPrefix {
    /// The change log and the snapshot.
    #[display("config/")]
    Config,
    /// The change log.
    #[display("{LOG_PREFIX}")]
    ConfigLog,
    /// Leases.
    #[display("{LEASE_PREFIX}")]
    Leases,
    /// Progress of orders and stages.
    #[display("{STATUS_PREFIX}")]
    Status,
}
