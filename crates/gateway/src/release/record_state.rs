//! How a record stands.

use ryerouter_core::Timestamp;

/// How far the record of an order is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// What the source told last is what it holds, as far as this node has changed it.
    Settled,
    /// A call is open.
    Open,
    /// A call had no answer, or met a change: the order is read from then on, before anything else is written.
    Unsure(Timestamp),
}
