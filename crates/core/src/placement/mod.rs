//! Which back ends should serve a prompt, and in which order.

mod rendezvous;

pub use rendezvous::{name_hash, rendezvous_score};
