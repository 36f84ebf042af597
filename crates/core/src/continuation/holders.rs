//! The nodes that hold the record of a stream.

use std::collections::BTreeSet;

use super::StreamId;
use crate::identity::ZoneName;
use crate::placement::rendezvous_score;

/// Number of nodes that hold a record, in different zones where there are as many. Two of them may fail at once.
pub const HOLDERS: usize = 3;

/// A node that may hold records.
#[derive(Debug, Clone, Copy)]
pub struct Node<'a, T> {
    /// What the caller knows the node by.
    pub key: T,
    /// Hash of its name.
    pub name_hash: u64,
    /// Its zone.
    pub zone: &'a ZoneName,
}

/// The nodes that hold the record of a stream, by rendezvous hashing: every node that knows the same nodes finds the same
/// holders, and a node that joins or leaves changes few of them.
pub fn holders_of<'a, T: Copy>(
    id: StreamId,
    nodes: impl IntoIterator<Item = Node<'a, T>>,
) -> Vec<T> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .map(|node| (rendezvous_score(id.0, node.name_hash), node))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    let mut zones = BTreeSet::new();
    let (first_of_zone, others): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|(_, node)| node)
        .partition(|node| zones.insert(node.zone));
    let holders = first_of_zone.into_iter().chain(others);
    holders.take(HOLDERS).map(|node| node.key).collect()
}
