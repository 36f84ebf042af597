//! State of the record of an order.

use ryerouter_core::Timestamp;

/// State of the director's calls to write the record of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// No call is pending, and the content of the record is known.
    Known,
    /// A call is pending.
    Pending,
    /// A call got no answer, failed, or found that the order had changed. The order must be read, at this time or
    /// later, before its record is written again.
    Uncertain(Timestamp),
}
