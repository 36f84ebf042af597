//! Urgency of a request.

/// Urgency of a request; the least value is the most urgent. The tenant's priority takes precedence, and the route's
/// decides among requests of equally urgent tenants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the tenant, or of the route where the tenant has none; 0 is the most urgent.
    pub tenant: u8,
    /// Priority of the route; 0 is the most urgent.
    pub route: u8,
}

impl Urgency {
    /// The least urgent.
    pub const LEAST: Self = Self {
        tenant: u8::MAX,
        route: u8::MAX,
    };
}
