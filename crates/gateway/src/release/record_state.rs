//! How a record stands.

use ryerouter_core::Timestamp;

/// How far the record of an order is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// No call is open, and the outcome of the last one is known.
    Known,
    /// A call is open.
    Pending,
    /// A call had no answer, or met a change: at this time or later the order is read, before anything else
    /// is written.
    Uncertain(Timestamp),
}
