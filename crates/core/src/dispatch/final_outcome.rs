//! How a request ended.

use super::Refusal;

/// The single outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The whole answer reached the caller.
    Completed,
    /// It was refused, or broke off for good.
    Refused(Refusal),
    /// The caller left.
    Cancelled,
}
