//! Changes of the engines that are doubted.

use std::time::Duration;

use derive_more::Display;

use super::Doubt;
use crate::identity::BackEndName;
use crate::timestamp::Timestamp;

/// Why an engine is no longer doubted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TrustCause {
    /// A node heard from it.
    #[display("heard")]
    Heard,
    /// No new evidence came.
    #[display("lapsed")]
    Lapsed,
}

/// A change of the engines that are doubted, to be applied by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReachChange {
    /// The engine is doubted from now on. It gets no request before `probe_at`.
    Doubted {
        /// The engine.
        engine: BackEndName,
        /// The evidence.
        doubt: Doubt,
        /// When a request may probe it.
        probe_at: Timestamp,
    },
    /// Newer evidence confirms the doubt.
    Confirmed {
        /// The engine.
        engine: BackEndName,
        /// When a request may probe it.
        probe_at: Timestamp,
    },
    /// The engine is no longer doubted.
    Trusted {
        /// The engine.
        engine: BackEndName,
        /// Why.
        cause: TrustCause,
        /// How long it was doubted.
        doubted: Duration,
    },
}
