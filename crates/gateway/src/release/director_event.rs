//! Results of the director's calls to the source.

use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Order, Outcome};

use crate::source::{OrderedRelease, Recorded, SourceError};

/// Result of a call of the director to the source.
#[derive(Debug)]
pub(super) enum DirectorEvent {
    /// A call to record an outcome ended.
    Recorded {
        order: Order,
        outcome: Outcome,
        result: Result<Recorded, SourceError>,
    },
    /// A call to read the order of a pool ended; `revision` is the known revision of the order when it was made.
    Read {
        pool: PoolName,
        revision: u64,
        result: Result<Option<OrderedRelease>, SourceError>,
    },
}
