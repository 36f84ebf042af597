//! Number of engines over which a prefix is spread.

use crate::prompt::BlockHash;

/// Number of engines over which requests with a prefix are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixWidth {
    /// The prefix.
    pub prefix: BlockHash,
    /// Number of engines; `usize::MAX` stands for all.
    pub engines: usize,
}

impl PrefixWidth {
    /// The width for `concurrency` concurrent requests when one engine takes `per_engine`.
    ///
    /// It is a power of two, so that processes whose estimates differ a little mostly agree. Where
    /// they do not, the narrower set lies within the wider one.
    pub fn for_concurrency(prefix: BlockHash, concurrency: f64, per_engine: f64) -> Self {
        let engines = (concurrency / per_engine).ceil().max(1.0);
        Self {
            prefix,
            engines: (engines as usize).next_power_of_two(),
        }
    }

    /// A width that excludes no engine, for a prefix without an estimate.
    pub fn unlimited(prefix: BlockHash) -> Self {
        Self {
            prefix,
            engines: usize::MAX,
        }
    }
}
