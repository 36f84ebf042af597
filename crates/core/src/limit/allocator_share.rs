//! Division of a limit between allocators.

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::{ClaimRoster, KeeperGroup};
use crate::identity::{NodeName, TenantName};

/// Index and group of the allocators of a tenant; `None` while there are no keepers.
pub fn allocator_group<'a>(
    roster: &'a ClaimRoster,
    tenant: &TenantName,
) -> Option<(usize, &'a KeeperGroup)> {
    let count = roster.groups.len() as u64;
    if count == 0 {
        return None;
    }
    let index = (xxh3_64(tenant.as_str().as_bytes()) % count) as usize;
    Some((index, &roster.groups[index]))
}

/// The share of `limit` that `allocator` grants, as one of `allocators`. Shares are equal; the
/// remainder goes to the first allocators, one each, in an order that is hashed per tenant. The
/// shares add up to the limit.
pub fn allocator_share(
    limit: u64,
    allocators: &[NodeName],
    allocator: &NodeName,
    tenant: &TenantName,
) -> u64 {
    let count = allocators.len() as u64;
    if !allocators.contains(allocator) {
        return 0;
    }
    let rank = allocators
        .iter()
        .filter(|other| hash_order(other, tenant) < hash_order(allocator, tenant))
        .count() as u64;
    limit / count + u64::from(rank < limit % count)
}

fn hash_order<'a>(allocator: &'a NodeName, tenant: &TenantName) -> (u64, &'a NodeName) {
    let seed = xxh3_64(tenant.as_str().as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(allocator.as_str().as_bytes(), seed);
    (hash, allocator)
}
