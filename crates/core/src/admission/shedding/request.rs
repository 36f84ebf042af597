//! A request to decide on.

use std::time::Duration;

use super::Urgency;
use crate::identity::TenantName;

/// A caller that has waited for less does not count as returning, so that repeating at once gains nothing.
const MIN_WAITED: Duration = Duration::from_millis(250);

/// Least share of its place that a returning caller keeps. What is known of its waiting is a guess, from its deadline.
const MIN_PLACE_SHARE: f64 = 0.5;

/// What a [`Shedder`](super::Shedder) needs to know of a request to decide on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Work that the request brings, in the unit of the pool.
    pub work: f64,
    /// Urgency among the requests of the pool.
    pub urgency: Urgency,
    /// The tenant, if the caller has one.
    pub tenant: Option<&'a TenantName>,
    /// Weight of the tenant relative to others.
    pub weight: f64,
    /// Latency of the first token that the caller asks for.
    pub target: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Time for which the caller has already tried, as far as its deadline tells.
    pub waited: Duration,
    /// A number drawn uniformly from 0 to 1 for each request, such as from a hash of its id, so that decisions are
    /// reproducible.
    pub draw: f64,
}

impl Request<'_> {
    /// The place of the request among those of its urgency and tenant, from 0 (first) to 1. A caller that returns
    /// after having waited comes earlier.
    pub(super) fn place(&self) -> f64 {
        if self.waited < MIN_WAITED {
            return self.draw;
        }
        let total = self.waited + self.remaining;
        let remaining_share = self.remaining.as_secs_f64() / total.as_secs_f64();
        self.draw * remaining_share.max(MIN_PLACE_SHARE)
    }
}
