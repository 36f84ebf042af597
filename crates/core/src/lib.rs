//! Every decision of the router.
//!
//! Each module is a state machine: it takes its state, an event and the current time, and returns
//! actions. Nothing here does I/O, reads a clock, draws random numbers of its own or starts a
//! thread, so the router process and the simulator run exactly the same code.

pub mod admission;
pub mod backpressure;
pub mod catalog;
pub mod claim;
pub mod config;
pub mod continuation;
pub mod control;
pub mod dispatch;
pub mod identity;
pub mod lifecycle;
pub mod limit;
pub mod membership;
pub mod migration;
pub mod order;
pub mod path;
pub mod permit;
pub mod placement;
pub mod poison;
pub mod prompt;
pub mod quota;
pub mod reach;
pub mod release;
pub mod retry;
mod timestamp;

pub use timestamp::Timestamp;
