//! How an engine's rate limit is divided between nodes.

/// A limit of `n` requests per second is divided between `n` plus this many nodes. Each share is then more than one
/// request in a few seconds. The bursts that all nodes together can accumulate stay below half the limit, which is
/// how much it may be exceeded briefly.
const EXTRA_SENDERS: usize = 3;
/// Minimum share of the senders that a node must know of to rely on its rank.
const MIN_KNOWN_SHARE: f64 = 0.8;
/// Factor by which the number of senders may exceed the planned number when nodes do not know their rank and are
/// selected by score.
const MAX_SENDER_EXCESS: f64 = 2.0;
/// Rate at which one node probes an engine that accepts almost nothing, in requests per second.
const PROBE_RATE: f64 = 0.1;

/// Position of a node among those that may send to an engine: the nodes of the engine's zone, which mostly serve the
/// callers of that zone, or all nodes when the zone has none. The order is that of rendezvous hashing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Position {
    /// Maximum number of nodes that may exist, this one included.
    pub nodes: usize,
    /// Number of nodes that may send.
    pub senders: usize,
    /// Number of senders that this node knows of, itself included.
    pub known: usize,
    /// Number of known senders ranked before this node; at least `senders` when this node is not a sender.
    pub rank: usize,
    /// Rendezvous score of this node as a share of the maximum score.
    pub score: f64,
}

/// Share of an engine's rate limit that a node may use, in requests per second.
///
/// Nodes agree on their shares without communicating: a limit may be less than one request per second for each node,
/// and nodes that are isolated or have just received the limit cannot ask the others. So only some of the nodes share
/// the limit: as many as can each accumulate a whole request without all of them together exceeding it. The others send
/// nothing.
pub fn sender_share(per_second: f64, position: &Position) -> f64 {
    let by_rate = per_second.min(position.senders as f64) as usize + EXTRA_SENDERS;
    let active = by_rate.min(position.senders).max(1);
    let fair = per_second / active as f64;
    if position.rank >= position.senders {
        return 0.0;
    }
    let knows_position = position.known as f64 >= position.senders as f64 * MIN_KNOWN_SHARE;
    if !knows_position {
        let is_selected = position.score * (position.senders as f64) < active as f64;
        return if is_selected {
            fair / MAX_SENDER_EXCESS
        } else {
            0.0
        };
    }
    match position.rank {
        0 => fair.max(PROBE_RATE),
        rank if rank < active => fair,
        _ => 0.0,
    }
}
