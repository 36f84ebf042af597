//! Errors of starting the process.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};

use crate::control::{ControlError, ControlGone};
use crate::peer::PeerKeysError;
use crate::rpc::OperatorKeysError;
use crate::tls::TlsError;
use crate::traffic::NodeError;

/// Why the process could not start.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The control thread could not start.
    #[display("{_0}")]
    Control(ControlError),
    /// The control thread ended while the process was starting.
    #[display("{_0}")]
    ControlGone(ControlGone),
    /// The traffic side could not start.
    #[display("{_0}")]
    Traffic(NodeError),
    /// Certificates or keys cannot be used.
    #[display("{_0}")]
    Tls(TlsError),
    /// The file of the keys that nodes share cannot be used.
    #[display("{_0}")]
    PeerKeys(PeerKeysError),
    /// The file of operators' keys cannot be used.
    #[display("{_0}")]
    OperatorKeys(OperatorKeysError),
    /// The address of the operator RPC cannot be had.
    #[display("cannot listen on {address} for operators: {source}")]
    #[from(skip)]
    RpcListen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}
