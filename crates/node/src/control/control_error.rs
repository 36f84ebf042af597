//! Errors of the control thread.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why the control thread could not start.
#[derive(Debug, Display, Error)]
pub enum ControlError {
    /// An address for peers or operators cannot be had.
    #[display("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The thread or its runtime cannot be started.
    #[display("cannot start the control thread: {source}")]
    Thread {
        /// The cause.
        source: io::Error,
    },
}
