//! A deployment kept running for whoever wants to try the router.

mod directions;

pub use directions::directions;
