//! How far a stream has come.

use super::Usage;

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamProgress {
    /// More is to come.
    Open,
    /// The end mark arrived after a complete answer.
    Done(Usage),
}
