//! Keys of operators.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use super::{Operator, OperatorRole};

const HASH_BYTES: usize = 32;

/// Hash of an operator's key with the name and role that go with it. The key itself is nowhere.
#[derive(Clone)]
pub struct OperatorKey {
    name: String,
    role: OperatorRole,
    hash: [u8; HASH_BYTES],
}

impl OperatorKey {
    /// A key known by its SHA-256.
    pub fn new(name: impl Into<String>, role: OperatorRole, hash: [u8; HASH_BYTES]) -> Self {
        Self {
            name: name.into(),
            role,
            hash,
        }
    }

    /// A key known itself, as in tests.
    pub fn of_key(name: impl Into<String>, role: OperatorRole, key: &str) -> Self {
        Self::new(name, role, hash_of(key))
    }

    /// Whether `key` is this one, in time that does not depend on where they differ.
    pub(super) fn matches(&self, key_hash: &[u8; HASH_BYTES]) -> Choice {
        self.hash.ct_eq(key_hash)
    }

    pub(super) fn operator(&self) -> Operator {
        Operator {
            name: Some(self.name.clone()),
            role: self.role,
        }
    }
}

impl std::fmt::Debug for OperatorKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "OperatorKey({}, {})", self.name, self.role)
    }
}

/// SHA-256 of a key.
pub(super) fn hash_of(key: &str) -> [u8; HASH_BYTES] {
    Sha256::digest(key.as_bytes()).into()
}
