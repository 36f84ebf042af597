//! Why an engine is excluded from new requests.

use derive_more::Display;

use crate::Timestamp;

/// Reason for which an engine is excluded from new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ExclusionReason {
    /// The engine is leaving.
    #[display("leaving")]
    Leaving,
    /// The engine has requested a backoff from this node.
    #[display("resting")]
    BackingOff,
    /// This node's share of the engine's rate limit is used up.
    #[display("limited")]
    Limited,
}

/// Exclusion of an engine from new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// Why the engine is excluded.
    pub reason: ExclusionReason,
    /// When the engine may be sent a request again; `None` when this is not known.
    pub until: Option<Timestamp>,
}
