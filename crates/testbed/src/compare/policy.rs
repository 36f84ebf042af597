//! The policies that are compared.

use derive_more::Display;
use serde::Serialize;

/// A dispatch policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The router's own dispatcher, one in each router process.
    #[display("ours")]
    Ours,
    /// Sees every cache, queue and dispatch of the whole cluster at once; the number is how many
    /// hundredths of a second of waiting a second of recomputation counts as.
    #[display("oracle {}", f64::from(*_0) / 100.0)]
    Oracle(u16),
    /// Each router process takes the engines in turn.
    #[display("round robin")]
    RoundRobin,
    /// The engine with the fewest requests, by lagging reports and own dispatches since.
    #[display("least loaded")]
    LeastLoaded,
    /// Consistent hash of the caller's session.
    #[display("session hash")]
    SessionHash,
    /// Consistent hash of the prompt without its last message.
    #[display("consistent hash")]
    ConsistentHash,
}

impl Policy {
    /// All policies, ours and the oracles first.
    pub const ALL: [Self; 8] = [
        Self::Ours,
        Self::Oracle(50),
        Self::Oracle(100),
        Self::Oracle(200),
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::SessionHash,
        Self::ConsistentHash,
    ];

    /// Whether it is one of those that ours must beat.
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::Ours | Self::Oracle(_))
    }

    /// Whether it is omniscient.
    pub fn is_oracle(self) -> bool {
        matches!(self, Self::Oracle(_))
    }
}
