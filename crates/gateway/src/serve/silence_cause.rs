//! The suspected cause of an engine's silence.

use derive_more::Display;

/// The suspected cause when no part of an answer comes for longer than usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum SilenceCause {
    /// Only this connection: the engine has answered requests that were sent later.
    #[display("connection: engine answers requests that were sent later")]
    Connection,
    /// The engine, which has not answered later requests either. The silent connection is a reused one.
    #[display("engine: no answer on a connection kept for reuse")]
    Engine,
    /// The engine, which other nodes can't reach and this one has not heard from since.
    #[display("doubted: other nodes can't reach the engine")]
    Doubted,
}
