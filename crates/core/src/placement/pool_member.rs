//! A back end with its data for placement.

use super::{EngineKey, name_hash};
use crate::catalog::BackEnd;

/// A back end that may take new work according to configuration and membership.
#[derive(Debug, Clone)]
pub struct PoolMember {
    /// Identity inside this process.
    pub key: EngineKey,
    /// Hash of the name, for rendezvous hashing.
    pub name_hash: u64,
    /// Configuration of the back end.
    pub back_end: BackEnd,
}

impl PoolMember {
    /// Prepares a back end for placement.
    pub fn new(key: EngineKey, back_end: &BackEnd) -> Self {
        Self {
            key,
            name_hash: name_hash(&back_end.name),
            back_end: back_end.clone(),
        }
    }
}
