//! What is doubted when nothing comes.

use derive_more::Display;

/// What is doubted when nothing comes for longer than answers take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum SilenceCause {
    /// The engine answers what was sent later, so only this connection is silent.
    #[display("connection: engine answers what was sent later")]
    Connection,
    /// Nothing is heard of the engine either.
    #[display("engine: no news on a kept connection")]
    Engine,
}
