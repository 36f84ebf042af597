//! Sampling of prompts by their beginning.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::TenantName;

/// Number of bytes at the beginning of a prompt that are hashed.
const SAMPLED_BYTES: usize = 256;

/// A hash of the tenant and the beginning of its prompt. Prompts that share a prefix have the same
/// hash, so they move together when a share of the traffic moves.
pub fn prefix_sample(tenant: &TenantName, beginning: &str) -> u64 {
    let seed = xxh3_64_with_seed(tenant.as_str().as_bytes(), 0);
    let bytes = beginning.as_bytes();
    xxh3_64_with_seed(&bytes[..bytes.len().min(SAMPLED_BYTES)], seed)
}
