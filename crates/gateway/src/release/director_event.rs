//! What the director's calls to the source brought.

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Order, Outcome};

use crate::source::{OrderedRelease, Recorded, SourceError};

/// What the director's calls to the source brought.
#[derive(Debug)]
pub(super) enum DirectorEvent {
    /// An outcome was to be recorded.
    Recorded {
        order: Order,
        outcome: Outcome,
        result: Result<Recorded, SourceError>,
    },
    /// The order of a pool was read, which was known at `revision` before.
    Read {
        pool: PoolName,
        revision: u64,
        result: Result<Option<OrderedRelease>, SourceError>,
    },
}
