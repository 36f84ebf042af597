//! Requests that crash the engines that run them, and how they are blocked.
//!
//! A request may crash every engine that begins to run it (a query of death). When its caller retries it, it takes down
//! the engines of a pool one by one, along with everything else that runs on them. Every node keeps a [`History`] of
//! each request during which an engine crashed, receives the crashes that other nodes observed, and blocks the request
//! after three separate crashes. `docs/design/poison.md` explains the design.

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
