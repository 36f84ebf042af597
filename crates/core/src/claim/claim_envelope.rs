//! A claim message with its receiver.

use crate::identity::NodeName;

use super::ClaimMessage;

/// A message to send to a router process. The receiver may be this process itself, which can be
/// both client and keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimEnvelope {
    /// The receiver.
    pub to: NodeName,
    /// The message.
    pub message: ClaimMessage,
}
