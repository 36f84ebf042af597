//! Why a cluster failed.

use std::io;
use std::time::Duration;

use derive_more::{Display, Error, From};
use ryerouter_node::process::ProcessError;
use ryerouter_settings::SettingsError;
use tonic::Status;

/// Why a cluster failed.
#[derive(Debug, Display, Error, From)]
pub enum ClusterError {
    /// A socket cannot be had.
    #[display("input or output failed: {_0}")]
    Io(io::Error),
    /// Settings of a node cannot be used.
    #[display("settings of a node: {_0}")]
    Settings(SettingsError),
    /// A node cannot start.
    #[display("node: {_0}")]
    Node(ProcessError),
    /// The operator RPC cannot be reached.
    #[display("operator RPC cannot be reached: {_0}")]
    Transport(tonic::transport::Error),
    /// The operator RPC refused a change.
    #[display("operator RPC refused the configuration: {_0}")]
    Refused(Box<Status>),
    /// The configuration did not reach every node in time.
    #[display("configuration not in force on every node within {_0:?}")]
    #[from(skip)]
    NotInForce(#[error(not(source))] Duration),
}

impl From<Status> for ClusterError {
    fn from(status: Status) -> Self {
        Self::Refused(Box::new(status))
    }
}
