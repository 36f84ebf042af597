//! Why an attempt did not run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why an attempt certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// Connecting failed; no byte of the request was written.
    #[display("connect_failed")]
    ConnectFailed,
    /// The back end's incarnation differs from the one the attempt required.
    #[display("incarnation_mismatch")]
    IncarnationMismatch,
    /// The back end serves another weights version than the attempt required.
    #[display("weights_mismatch")]
    WeightsMismatch,
    /// The back end is at capacity.
    #[display("overloaded")]
    Overloaded,
    /// The back end is draining.
    #[display("draining")]
    Draining,
    /// The back end rejected the request as invalid; any other back end would reject it too.
    #[display("rejected")]
    Rejected,
}
