//! Why an engine gets nothing now.

use derive_more::Display;

use crate::Timestamp;

/// What bars an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ExclusionReason {
    /// It leaves.
    #[display("leaving")]
    Leaving,
    /// It has asked this node for rest.
    #[display("resting")]
    BackingOff,
    /// This node's share of its limit is used up.
    #[display("limited")]
    Limited,
}

/// Why an engine gets nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exclusion {
    /// What bars it.
    pub reason: ExclusionReason,
    /// When it may be sent something again; `None` when that is not known.
    pub until: Option<Timestamp>,
}
