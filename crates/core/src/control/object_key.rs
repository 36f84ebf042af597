//! Keys in the object API.

use std::str::FromStr;

use derive_more::Display;

use super::ObjectKeyError;
use crate::identity::ConfigVersion;

/// Start of the keys of the change log.
pub(super) const LOG_PREFIX: &str = "config/log/";
/// Key of the snapshot.
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Start of the keys of leases.
pub(super) const LEASE_PREFIX: &str = "lease/";
/// Start of the keys of progress.
pub(super) const STATUS_PREFIX: &str = "status/";

/// Key of an object that ryerouter keeps in the object API.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ObjectKey {
    /// One accepted change of configuration.
    #[display("{LOG_PREFIX}{:020}", _0.0)]
    ConfigLog(ConfigVersion),
    /// The whole configuration at some version.
    #[display("{SNAPSHOT_KEY}")]
    ConfigSnapshot,
    /// A lease.
    #[display("{LEASE_PREFIX}{_0}")]
    Lease(String),
    /// Progress that a lease holder writes.
    #[display("{STATUS_PREFIX}{_0}")]
    Status(String),
}

impl FromStr for ObjectKey {
    type Err = ObjectKeyError;

    fn from_str(key: &str) -> Result<Self, ObjectKeyError> {
        if key == SNAPSHOT_KEY {
            return Ok(Self::ConfigSnapshot);
        }
        if let Some(name) = key.strip_prefix(LEASE_PREFIX) {
            return Ok(Self::Lease(name.to_owned()));
        }
        if let Some(name) = key.strip_prefix(STATUS_PREFIX) {
            return Ok(Self::Status(name.to_owned()));
        }
        key.strip_prefix(LOG_PREFIX)
            .and_then(|digits| digits.parse().ok())
            .map(|version| Self::ConfigLog(ConfigVersion(version)))
            .ok_or_else(|| ObjectKeyError {
                key: key.to_owned(),
            })
    }
}
