//! Errors of starting the traffic side.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why the traffic side could not start.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// The listening address cannot be had.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread or its runtime cannot be started.
    #[display("cannot start a traffic thread: {source}")]
    Thread {
        /// The cause.
        source: io::Error,
    },
}
