//! A request as limits see it.

/// A request as limits see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// What it uses, in the unit of the limit.
    pub amount: f64,
    /// Its urgency among the tenant's requests, 0 first.
    pub priority: u8,
    /// A number from 0 to 1 that is drawn evenly for each request, such as from a hash of its id:
    /// decisions repeat with it.
    pub draw: f64,
}
