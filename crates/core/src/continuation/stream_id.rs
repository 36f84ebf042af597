//! Identity of a stream over its caller's attempts.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Shard;
use crate::identity::{PoolName, TenantName};

/// Separates the hashed fields; none of them can contain it.
const SEPARATOR: u8 = 0;

/// Identity of a stream over its caller's attempts: a hash of the id of the attempt that brought its first event.
///
/// The tenant and the pool are part of it, so that an id that another tenant used names another stream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream whose first event came with the request `request_id`.
    pub fn new(tenant: Option<&TenantName>, pool: &PoolName, request_id: &str) -> Self {
        let tenant = tenant.map(TenantName::as_str).unwrap_or_default();
        let fields = [tenant, pool.as_str(), request_id];
        let bytes = fields.map(str::as_bytes).join(&SEPARATOR);
        Self(xxh3_64(&bytes))
    }

    /// The shard of the stored records that this stream belongs to.
    pub fn shard(self) -> Shard {
        Shard((self.0 % u64::from(Shard::COUNT)) as u8)
    }
}
