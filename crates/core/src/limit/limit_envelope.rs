//! A message to send.

use crate::identity::NodeName;

use super::LimitMessage;

/// A message to send to another router process (or to this one: a bank may be its own borrower).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitEnvelope {
    /// The receiver.
    pub to: NodeName,
    /// The message.
    pub message: LimitMessage,
}
