//! How a limit is divided between nodes.

/// Nodes that share a limit beyond one for each request a second. With a part of more than one request in a few
/// seconds each, what all of them save up stays below the half of the limit that may be exceeded for a moment.
const EXTRA_SENDERS: usize = 3;
/// A node that has heard of this share of all nodes knows its place among them.
const MIN_KNOWN_SHARE: f64 = 0.8;
/// Where nodes do not know their places, twice as many as planned may send.
const MAX_SENDER_EXCESS: f64 = 2.0;
/// An engine that takes next to nothing is asked so often by one node whether it takes more, in requests a second.
const PROBE_RATE: f64 = 0.1;

/// The place of a node among those that may send to an engine: the nodes of its zone, whose callers it mostly serves, or
/// all where there are none. The order is that of rendezvous hashing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SenderPosition {
    /// How many nodes there may be in all, this one included.
    pub nodes: usize,
    /// How many of them may send.
    pub senders: usize,
    /// How many of those this node has heard of, itself included.
    pub known: usize,
    /// How many of those come before it; all, when it is none of them.
    pub rank: usize,
    /// Its score as a share of the highest there is.
    pub score: f64,
}

/// The part of an engine's limit that falls to a node, in requests a second.
///
/// Nodes agree on it without a word: a limit may be less than one request a second for each node, and nodes that are cut off
/// or have just been told can't ask the others. So it is divided between some of them only, as many as can each save up a whole
/// request without all of them together exceeding the limit, and the others send nothing.
pub fn sender_share(per_second: f64, position: &SenderPosition) -> f64 {
    let by_rate = per_second.min(position.senders as f64) as usize + EXTRA_SENDERS;
    let senders = by_rate.min(position.senders).max(1);
    let fair = per_second / senders as f64;
    if position.rank >= position.senders {
        return 0.0;
    }
    let knows_position = position.known as f64 >= position.senders as f64 * MIN_KNOWN_SHARE;
    if !knows_position {
        let is_selected = position.score * (position.senders as f64) < senders as f64;
        return if is_selected {
            fair / MAX_SENDER_EXCESS
        } else {
            0.0
        };
    }
    match position.rank {
        0 => fair.max(PROBE_RATE),
        rank if rank < senders => fair,
        _ => 0.0,
    }
}
