//! Why a measurement failed.

use std::io;

use derive_more::{Display, Error, From};
use ryerouter_node::traffic::NodeError;

/// Why a measurement failed.
#[derive(Debug, Display, Error, From)]
pub enum OverheadError {
    /// A socket or file cannot be had.
    #[display("input or output failed: {_0}")]
    Io(io::Error),
    /// The node cannot start.
    #[display("node: {_0}")]
    Node(NodeError),
    /// A load ended without an answer to measure.
    #[display("no answer came {_0}")]
    #[from(skip)]
    NoAnswers(#[error(not(source))] &'static str),
}
