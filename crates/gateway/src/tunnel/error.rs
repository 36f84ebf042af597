//! Why a tunnel could not be opened.

use std::io;

use derive_more::{Display, Error};

use super::Answer;

/// Why a tunnel could not be opened.
#[derive(Debug, Display, Error)]
pub enum TunnelError {
    /// No other node passes on connections.
    #[display("no other node passes on connections")]
    NoPeer,
    /// The node could not be reached, or its connection broke.
    #[display("node not reached: {_0}")]
    Io(io::Error),
    /// The node refused.
    #[display("node refused: {_0}")]
    Refused(#[error(not(source))] Answer),
    /// What the node said can't be read.
    #[display("answer of the node is not readable: {_0}")]
    Unreadable(serde_json::Error),
    /// The HTTP connection could not be set up.
    #[display("no HTTP connection: {_0}")]
    Handshake(hyper::Error),
}

impl TunnelError {
    /// Whether the engine, and not the node, is what could not be reached.
    pub fn is_of_engine(&self) -> bool {
        matches!(self, Self::Refused(Answer::Unreached | Answer::Refused))
    }
}

impl From<io::Error> for TunnelError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
