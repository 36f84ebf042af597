//! Why an attempt did not run.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why an attempt certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No connection; not one byte of the request was written.
    #[display("connect_failed")]
    ConnectFailed,
    /// The back end has another incarnation than the attempt asked for.
    #[display("incarnation_mismatch")]
    IncarnationMismatch,
    /// The back end serves another weights version than the attempt asked for.
    #[display("weights_mismatch")]
    WeightsMismatch,
    /// The back end is full.
    #[display("overloaded")]
    Overloaded,
    /// The back end is draining.
    #[display("draining")]
    Draining,
    /// The back end refused the request itself; another would refuse it too.
    #[display("rejected")]
    Rejected,
}
