//! How a relayed stream ended.

use derive_more::Display;

/// How a relayed stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StreamEnd {
    /// Whole.
    #[display("completed")]
    Completed,
    /// The engine broke off and nothing could go on.
    #[display("broken")]
    Broken,
    /// Its time ran out.
    #[display("deadline")]
    Deadline,
    /// The caller left.
    #[display("caller_left")]
    CallerDisconnected,
}
