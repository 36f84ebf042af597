//! Requests that end the engines that run them, and how they are held back.
//!
//! A request may crash each engine that begins to run it (a query of death). Sent again and again it takes the
//! engines of a pool away one after the other, with all that runs on them. Every node keeps a [`History`] of
//! each request under which an engine ended, hears of the ends that other nodes saw, and holds a request back
//! once three engines have ended under it one after the other. `docs/design/poison.md` has the reasons.

mod crash;
mod digest;
mod history;
mod register;
mod verdict;

pub use crash::Crash;
pub use digest::{Digest, InvalidDigest};
pub use history::History;
pub use register::Register;
pub use verdict::Verdict;
