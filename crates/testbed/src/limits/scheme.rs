//! A way to hold limits.

use ryerouter_core::Timestamp;

/// What a node does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted.
    Admitted,
    /// It is refused.
    Refused,
    /// It is decided later, and told by [`Scheme::advance`].
    Later,
}

/// A way to hold the requests-a-second limits of tenants over nodes.
pub trait Scheme {
    /// A request of `tenant` arrives at `node`.
    fn request(&mut self, node: usize, tenant: usize, now: Timestamp) -> Verdict;

    /// Lets time pass; gives tenants whose requests were decided, and whether they are admitted.
    fn advance(&mut self, now: Timestamp, decided: &mut Vec<(usize, bool)>);

    /// Cuts nodes of the upper half from those of the lower, or mends that.
    fn set_cut(&mut self, cut: bool, now: Timestamp);

    /// Messages sent so far.
    fn messages(&self) -> u64;
}
