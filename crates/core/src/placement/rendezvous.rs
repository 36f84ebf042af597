//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

use crate::identity::BackEndName;

/// Hash of a back end's name, computed once per configuration.
pub fn name_hash(name: &BackEndName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Score of a back end for a key; the back end with the highest score serves the key.
///
/// Every process with the same configuration computes the same scores, and a back end that joins or
/// leaves moves only the keys that it serves itself.
pub fn rendezvous_score(key: u64, name_hash: u64) -> u64 {
    finalize(key ^ name_hash.rotate_left(32))
}

/// The finalizer of splitmix64: every input bit changes every output bit with probability 1/2.
fn finalize(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
