//! Why a request may not start.

use derive_more::{Display, Error};

/// Why a request may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum GateClosed {
    /// The process is stopping.
    #[display("the router is stopping")]
    Stopping,
    /// As many requests as allowed are in progress.
    #[display("the router has too many requests in progress")]
    Full,
}
