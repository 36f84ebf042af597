//! Phases of a router process.

use derive_more::Display;

/// Phase of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Display)]
pub enum NodePhase {
    /// It has no configuration yet; requests are refused as not run.
    #[default]
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("serving")]
    Serving,
    /// It was asked to stop: new requests are refused as not run, others finish.
    #[display("draining")]
    Draining,
    /// Nothing is left to finish.
    #[display("stopped")]
    Stopped,
}
