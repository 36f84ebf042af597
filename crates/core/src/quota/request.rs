//! A request to decide on.

/// What an [`Account`](super::Account) needs to know of a request to decide on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Amount that the request uses, in the unit of the limit.
    pub amount: f64,
    /// Priority among the tenant's requests; 0 is the most urgent.
    pub priority: u8,
    /// A number drawn uniformly from 0 to 1 for each request, such as from a hash of its id, so
    /// that decisions are reproducible.
    pub draw: f64,
}
