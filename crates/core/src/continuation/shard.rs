//! Part of the stored records of streams.

use derive_more::Display;

/// Part of the stored records of streams, selected by their ids. Nodes agree on one that writes a shard as far as they know
/// each other; two read it for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0:02x}")]
pub struct Shard(pub u8);

impl Shard {
    /// Number of shards, whatever the number of nodes.
    pub const COUNT: u8 = 8;

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Key by which nodes are ranked for it.
    pub fn rendezvous_key(self) -> u64 {
        u64::from(self.0) + 1
    }
}
