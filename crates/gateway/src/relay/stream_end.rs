//! How a relayed stream ended.

use derive_more::Display;

/// How a relayed stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StreamEnd {
    /// The whole stream was relayed.
    #[display("completed")]
    Completed,
    /// The engine's answer broke off, and no other engine could resume it.
    #[display("broken")]
    Broken,
    /// The deadline of the request passed.
    #[display("deadline")]
    Deadline,
    /// The caller disconnected.
    #[display("caller_left")]
    CallerDisconnected,
}
