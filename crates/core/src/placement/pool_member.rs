//! A back end as placement sees it.

use super::{EngineKey, name_hash};
use crate::catalog::BackEnd;

/// A back end that may take new work as far as configuration and membership go.
#[derive(Debug, Clone)]
pub struct PoolMember {
    /// Its identity inside this process.
    pub key: EngineKey,
    /// Hash of its name, for rendezvous.
    pub name_hash: u64,
    /// Its configuration.
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
