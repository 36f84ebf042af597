//! Whether a request went on a connection that was open already.

use derive_more::Display;

/// Whether a request went on a connection that was open already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectionUse {
    /// It was kept after an earlier answer, so nothing proves that it still carries anything.
    #[display("kept")]
    Reused,
    /// It was opened for this request.
    #[display("new")]
    New,
}
