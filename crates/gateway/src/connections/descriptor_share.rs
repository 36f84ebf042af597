//! What a listener may take of the descriptors of the process.

use rustix::process::{Resource, getrlimit};

/// Descriptors that a node needs whatever its traffic is: listeners, logs, the timer and signals, the
/// socket for other nodes, watches of the store and of stores of kept KV cache. Some twenty are in
/// use without traffic.
const OWN_DESCRIPTORS: u64 = 32;
/// Parts into which the others are divided. Callers get six of sixteen, and engines no less, since
/// each request in progress holds a connection of both; three other listeners get one each; one is
/// left for calls to the store, orders to engines and tunnels of other nodes.
const PARTS: u64 = 16;
/// Tunnels in a part: each holds two descriptors, and a quarter of the part is left for the calls and orders.
const TUNNELS_PER_PART: (u64, u64) = (3, 8);

/// What a listener may take of the descriptors of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DescriptorShare {
    /// Callers with requests for engines.
    Callers,
    /// Those who ask the node itself: each has one question at a time, answered at once.
    Questions,
    /// Other nodes with connections to engines.
    Tunnels,
}

impl DescriptorShare {
    /// Most connections. The limit is asked for anew each time, since it may be changed from
    /// outside while the process runs.
    pub fn most_connections(self) -> usize {
        match getrlimit(Resource::Nofile).current {
            Some(limit) => self.part_of(limit),
            None => usize::MAX,
        }
    }

    /// The same for this limit; at least one, or nobody could be served.
    pub fn part_of(self, limit: u64) -> usize {
        let part = limit.saturating_sub(OWN_DESCRIPTORS) / PARTS;
        let part = match self {
            Self::Callers => part * 6,
            Self::Questions => part,
            Self::Tunnels => part * TUNNELS_PER_PART.0 / TUNNELS_PER_PART.1,
        };
        usize::try_from(part.max(1)).unwrap_or(usize::MAX)
    }
}
