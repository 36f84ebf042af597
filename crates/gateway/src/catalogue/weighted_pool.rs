//! A share of a route's traffic.

use ryerouter_core::identity::PoolName;

/// A pool with its share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolName,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u32,
}
