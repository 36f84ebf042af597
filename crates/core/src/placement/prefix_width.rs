//! Over how many engines a prefix is spread.

use crate::prompt::BlockHash;

/// Over how many engines requests with a prefix are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixWidth {
    /// The prefix.
    pub prefix: BlockHash,
    /// Engines; `usize::MAX` is all of them.
    pub engines: usize,
}

impl PrefixWidth {
    /// The width for `concurrency` requests at once, when one engine takes `per_engine`.
    ///
    /// It is a power of two, so that processes whose estimates differ a little agree mostly, and
    /// where they don't, the narrower set lies within the wider one.
    pub fn for_concurrency(prefix: BlockHash, concurrency: f64, per_engine: f64) -> Self {
        let engines = (concurrency / per_engine).ceil().max(1.0);
        Self {
            prefix,
            engines: (engines as usize).next_power_of_two(),
        }
    }

    /// A width that narrows nothing, for a prefix of which nothing is known.
    pub fn unlimited(prefix: BlockHash) -> Self {
        Self {
            prefix,
            engines: usize::MAX,
        }
    }
}
