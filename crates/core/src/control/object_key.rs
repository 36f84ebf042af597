//! Keys in the object API.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::identity::ConfigVersion;

const LOG_PREFIX: &str = "config/log/";
const SNAPSHOT_KEY: &str = "config/snapshot";
const LEASE_PREFIX: &str = "lease/";
const STATUS_PREFIX: &str = "status/";

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

/// A text is no key that ryerouter keeps.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("object key {key:?} is not one that ryerouter keeps")]
pub struct ObjectKeyError {
    /// The text.
    pub key: String,
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
