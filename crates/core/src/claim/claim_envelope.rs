//! A message to send.

use crate::identity::NodeName;

use super::ClaimMessage;

/// A message to send to another router process (or to this one: a keeper may be its own client).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimEnvelope {
    /// The receiver.
    pub to: NodeName,
    /// The message.
    pub message: ClaimMessage,
}
