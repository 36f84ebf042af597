//! Lifecycle of a router process.

mod node_phase;

pub use node_phase::NodePhase;
