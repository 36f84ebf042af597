//! Settings of a pool.

use ryerouter_core::identity::PoolName;

use super::EngineProfile;

/// Settings of a pool of back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolProfile {
    /// Its name.
    pub name: PoolName,
    /// Most connections that one back end accepts from all gateways together.
    pub most_connections: u32,
    /// Capacity of its engines; `None` for plain services.
    pub engine: Option<EngineProfile>,
}
