//! What a tenant may use.

/// What a tenant may use over all nodes together, in its unit: requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Amount a second.
    pub per_second: f64,
    /// Amount on top, after a time of less use.
    pub burst: f64,
}
