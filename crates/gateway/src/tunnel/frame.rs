//! A piece of what an engine sends through a tunnel.

use bytes::Bytes;

/// A piece of what an engine sends through a tunnel. The end is told apart from a loss of the tunnel: an answer may end
/// with its connection, and a node that is killed closes its connections too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// Bytes of the engine.
    Data(Bytes),
    /// The engine has closed its connection.
    End,
    /// The engine's connection broke.
    Reset,
}
