//! Answers to orders.

use crate::identity::FencingNumber;

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It was carried out, or will be.
    Accepted,
    /// The engine has seen a newer fencing number; the order had no effect.
    Superseded {
        /// The newest it has seen.
        newest: FencingNumber,
    },
    /// The engine refused it for another reason; it had no effect.
    Refused,
    /// No answer: it may have been carried out, or may still be.
    Lost,
}
