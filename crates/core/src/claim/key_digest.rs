//! Digest of an idempotency key.

use std::num::ParseIntError;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::identity::{IdempotencyKey, TenantName};

/// Separates tenant and key in the hash input; tenant names never contain it.
const SEPARATOR: &[u8] = &[0];

/// Digest of a tenant's idempotency key. The tenant is part of the hash input, so equal keys of
/// different tenants have different digests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Computes the digest of `tenant`'s `key`.
    pub fn of(tenant: &TenantName, key: &IdempotencyKey) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(tenant.as_str().as_bytes());
        hasher.update(SEPARATOR);
        hasher.update(key.as_str().as_bytes());
        Self(hasher.digest128())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}
