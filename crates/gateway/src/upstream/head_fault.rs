//! Why the head of an answer is not awaited any longer.

use derive_more::Display;

/// Why the head of an answer is not awaited any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum HeadFault {
    /// More bytes came than a head may have.
    #[display("head is too long")]
    TooLong,
    /// Bytes have kept coming, slowly, without the end of the head.
    #[display("head without an end")]
    Endless,
}
