//! A limit message with its receiver.

use crate::identity::NodeName;

use super::LimitMessage;

/// A message to send to another router process, or to this one, because an allocator may be its own
/// client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitEnvelope {
    /// The receiver.
    pub to: NodeName,
    /// The message.
    pub message: LimitMessage,
}
