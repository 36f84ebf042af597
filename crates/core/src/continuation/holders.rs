//! The nodes that hold the record of a stream.

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
    let mut first = Vec::with_capacity(HOLDERS + 1);
    let mut first_of_zones = Vec::with_capacity(HOLDERS + 1);
    for node in nodes {
        let score = rendezvous_score(id.0, node.name_hash);
        let ranked = Ranked { score, node };
        note_first(&mut first, ranked);
        note_first_of_zone(&mut first_of_zones, ranked);
    }
    // Where there are few zones, the other holders are among the first nodes of all.
    let is_first_of_zone = |other: &Ranked<'a, T>| {
        let mut firsts = first_of_zones.iter();
        firsts.any(|ranked| ranked.score == other.score)
    };
    first.retain(|other| !is_first_of_zone(other));
    let holders = first_of_zones.into_iter().chain(first);
    let holders = holders.take(HOLDERS);
    holders.map(|ranked| ranked.node.key).collect()
}

/// A node and its score for a stream.
#[derive(Debug, Clone, Copy)]
struct Ranked<'a, T> {
    score: u64,
    node: Node<'a, T>,
}

/// Inserts a node, if it is among the first ones.
fn note_first<'a, T: Copy>(first: &mut Vec<Ranked<'a, T>>, ranked: Ranked<'a, T>) {
    if is_behind(first, &ranked) {
        return;
    }
    let at = first.partition_point(|known| known.score > ranked.score);
    first.insert(at, ranked);
    first.truncate(HOLDERS);
}

/// Inserts a node, if it is the first one of its zone and that one is among the first zones.
fn note_first_of_zone<'a, T: Copy>(first: &mut Vec<Ranked<'a, T>>, ranked: Ranked<'a, T>) {
    if is_behind(first, &ranked) {
        return;
    }
    let mut zones = first.iter();
    if let Some(at) = zones.position(|known| known.node.zone == ranked.node.zone) {
        if first[at].score >= ranked.score {
            return;
        }
        first.remove(at);
    }
    note_first(first, ranked);
}

fn is_behind<T>(first: &[Ranked<'_, T>], ranked: &Ranked<'_, T>) -> bool {
    first.len() == HOLDERS && first.last().is_some_and(|last| last.score >= ranked.score)
}
