//! State of the record of an order.

use ryerouter_core::Timestamp;

/// State of the director's calls to write the record of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// No call is pending, and the result of the last one is known.
    Known,
    /// A call is pending.
    Pending,
    /// A call got no answer, failed, or found that the order had changed. The order is read at this time or later,
    /// before anything else is written.
    Uncertain(Timestamp),
}
