//! How an attempt fails without an answer.

use std::io;

use derive_more::{Display, Error};

/// How an attempt fails without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AttemptFailure {
    /// No connection; not one byte of the request was written.
    #[display("not connected: {detail}")]
    NotConnected {
        /// What the transport said.
        detail: String,
        /// Whether the engine's host did not respond.
        is_timeout: bool,
    },
    /// No connection was tried, since one has just shown that no node reaches the engine.
    #[display("out of reach of all nodes that were asked")]
    OutOfReach,
    /// What came is no answer; the request may have run.
    #[display("no answer: {detail}")]
    NoAnswer {
        /// What is wrong with it.
        detail: String,
    },
    /// The connection broke after the request may have been written.
    #[display("broken: {detail}")]
    Broken {
        /// What the transport said.
        detail: String,
        /// Whether the connection was a kept one.
        is_kept: bool,
        /// Whether the node is gone through which it went, which says nothing about the engine.
        is_tunnel_lost: bool,
    },
}

impl AttemptFailure {
    /// Whether the request certainly has not run and will not.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::OutOfReach)
    }
}

impl From<io::Error> for AttemptFailure {
    fn from(error: io::Error) -> Self {
        Self::NotConnected {
            detail: error.to_string(),
            is_timeout: error.kind() == io::ErrorKind::TimedOut,
        }
    }
}

impl From<hyper::Error> for AttemptFailure {
    fn from(error: hyper::Error) -> Self {
        Self::NotConnected {
            detail: error.to_string(),
            is_timeout: false,
        }
    }
}
