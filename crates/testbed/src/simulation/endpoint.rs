//! Parties on the simulated network.

use derive_more::Display;

/// A party on the simulated network, by its index among its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Endpoint {
    /// A router process.
    #[display("node-{_0}")]
    Node(usize),
    /// A back end.
    #[display("back-end-{_0}")]
    BackEnd(usize),
    /// The platform: object API and machine list.
    #[display("platform")]
    Platform,
    /// Callers and operators, who stand beside every router process.
    #[display("client")]
    Client,
}
