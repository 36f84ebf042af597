//! What engines say of themselves in their answers, and how much they may be sent by that.

mod signal;

pub use signal::Signal;
