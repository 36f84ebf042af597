//! The first line that a node writes on a tunnel that it was asked for.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The first line that a node writes on a tunnel that it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(tag = "tunnel", rename_all = "snake_case")]
pub enum Answer {
    /// The engine is connected; its bytes follow in frames.
    #[display("open")]
    Open,
    /// The engine did not respond to this node either.
    #[display("unreached")]
    Unreached,
    /// The engine refused the connection of this node too.
    #[display("refused")]
    Refused,
    /// This node has lost its own link to the engine.
    #[display("blocked")]
    Blocked,
    /// The engine is not in this node's list.
    #[display("unlisted")]
    Unlisted,
    /// As many tunnels are open as are allowed.
    #[display("full")]
    Full,
    /// This node shuts down.
    #[display("leaving")]
    Leaving,
    /// An answer of another build.
    #[display("unknown")]
    #[serde(other)]
    Unknown,
}
