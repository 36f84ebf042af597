//! Sample of prompts by how they begin.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::TenantName;

/// Bytes of the beginning of a prompt that count.
const SAMPLED_BYTES: usize = 256;

/// A hash of the tenant and the beginning of its prompt: prompts that share a prefix have the same,
/// so they move together when a share of traffic moves.
pub fn prefix_sample(tenant: &TenantName, beginning: &str) -> u64 {
    let seed = xxh3_64_with_seed(tenant.as_str().as_bytes(), 0);
    let bytes = beginning.as_bytes();
    xxh3_64_with_seed(&bytes[..bytes.len().min(SAMPLED_BYTES)], seed)
}
