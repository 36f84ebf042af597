//! Where requests arrive.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Nodes that have most of a tenant's traffic when it is skewed.
const HOT_NODES: usize = 3;
const HOT_PERCENT: u32 = 80;
const SHIFT_SECONDS: u64 = 10;
const PARTITION_SECONDS: std::ops::Range<u64> = 30..60;
const SURGE_SECONDS: std::ops::Range<u64> = 40..47;
const SURGE_FACTOR: u64 = 8;

/// Where requests arrive, and what fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPattern {
    /// At all nodes alike.
    Even,
    /// Most at three nodes of each tenant.
    Skewed,
    /// The three nodes change every ten seconds.
    Shifting,
    /// As shifting; from second 30 to 60 one half of the nodes is cut from the other.
    Partitioned,
    /// At all nodes alike; for a while every tenant asks for several times as much.
    Surge,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 5] = [
        Self::Even,
        Self::Skewed,
        Self::Shifting,
        Self::Partitioned,
        Self::Surge,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Skewed => "skewed",
            Self::Shifting => "shifting",
            Self::Partitioned => "partitioned",
            Self::Surge => "surge",
        }
    }

    /// The node at which a request arrives.
    pub fn node(self, tenant: usize, second: u64, nodes: usize, random: &mut ChaCha8Rng) -> usize {
        let anywhere = random.random_range(0..nodes);
        if matches!(self, Self::Even | Self::Surge) || random.random_range(0..100) >= HOT_PERCENT {
            return anywhere;
        }
        let era = match self {
            Self::Even | Self::Skewed | Self::Surge => 0,
            Self::Shifting | Self::Partitioned => second / SHIFT_SECONDS,
        };
        let hot = random.random_range(0..HOT_NODES);
        (tenant * 7 + era as usize * 13 + hot * 29) % nodes
    }

    /// How many times as much as usual is asked for.
    pub fn surge(self, second: u64) -> u64 {
        match self == Self::Surge && SURGE_SECONDS.contains(&second) {
            true => SURGE_FACTOR,
            false => 1,
        }
    }

    /// Whether the nodes are cut in two.
    pub fn is_cut(self, second: u64) -> bool {
        self == Self::Partitioned && PARTITION_SECONDS.contains(&second)
    }
}
