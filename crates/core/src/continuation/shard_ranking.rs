//! The nodes that write and read a shard.

use super::Shard;
use crate::placement::rendezvous_score;

/// The first `count` of these nodes for a shard by rendezvous hashing, the best one first. A node is a hash of its name
/// and what the caller knows it by.
pub fn first_of_shard<T>(
    shard: Shard,
    nodes: impl IntoIterator<Item = (u64, T)>,
    count: usize,
) -> Vec<T> {
    let key = shard.rendezvous_key();
    let mut first: Vec<(u64, T)> = Vec::with_capacity(count + 1);
    for (name_hash, node) in nodes {
        let score = rendezvous_score(key, name_hash);
        if first.len() == count && first.last().is_some_and(|(last, _)| *last >= score) {
            continue;
        }
        let at = first.partition_point(|(better, _)| *better > score);
        first.insert(at, (score, node));
        first.truncate(count);
    }
    first.into_iter().map(|(_, node)| node).collect()
}
