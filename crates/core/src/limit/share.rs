//! Split of a limit over banks.

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::{ClaimRoster, KeeperGroup};
use crate::identity::{NodeName, TenantName};

/// Position and group of the banks of a tenant; `None` while there are no keepers.
pub fn bank_group<'a>(
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

/// The part of `limit` that `bank` hands out, one of `banks`: equal parts, the remainder one each
/// to the first by a hash that differs between tenants. The parts add up to the limit.
pub fn share_of(limit: u64, banks: &[NodeName], bank: &NodeName, tenant: &TenantName) -> u64 {
    let count = banks.len() as u64;
    if !banks.contains(bank) {
        return 0;
    }
    let rank = banks
        .iter()
        .filter(|other| order(other, tenant) < order(bank, tenant))
        .count() as u64;
    limit / count + u64::from(rank < limit % count)
}

fn order<'a>(bank: &'a NodeName, tenant: &TenantName) -> (u64, &'a NodeName) {
    let seed = xxh3_64(tenant.as_str().as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(bank.as_str().as_bytes(), seed);
    (hash, bank)
}
