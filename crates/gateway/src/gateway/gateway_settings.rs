//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::quota::Tolerance;
use ryerouter_core::release;

use crate::memory::MemoryLimits;
use crate::peers::NodeIdentity;
use crate::placement::PlacementPrices;
use crate::retry::RetrySettings;
use crate::rollout::RolloutSettings;
use crate::topology::Topology;
use crate::upstream::ConnectSettings;

/// Ratio of the maximum age of the configuration's confirmation to the propagation limit. A new
/// confirmation is requested at two fifths of the maximum age at the latest. With 1.4 this leaves
/// four tenths of the propagation limit to request it and to report it to the other nodes, as for
/// other items.
const CONFIRMATION_AGE_FACTOR: f64 = 1.4;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Identity of this node.
    pub identity: NodeIdentity,
    /// Which zone lies in which region.
    pub topology: Topology,
    /// Addresses where other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Whether requests need an API key even if the configuration says nothing of tenants.
    pub requires_keys: bool,
    /// Requests with an API key are refused once the configuration has not been confirmed current
    /// for this time; `None` accepts keys at any age.
    pub max_unconfirmed_age: Option<Duration>,
    /// How long older weights may be used after newer ones were published.
    pub weights_grace: Duration,
    /// The part of the total time allowed for older weights that is reserved for the publication to
    /// reach all nodes.
    pub weights_propagation_time: Duration,
    /// Minimum age assumed for weights that were published before this process started, until
    /// another node reports when they were.
    pub assumed_weights_age: Duration,
    /// How long an engine may be used after its entry was removed during a disruption of the
    /// source.
    pub unlisted_grace: Duration,
    /// Time after which an engine's entry expires when it is not renewed; entries of running
    /// engines expire only when the source is unavailable for this long.
    pub entry_ttl: Duration,
    /// Changes of the source's items must be in force within this time.
    pub propagation_limit: Duration,
    /// How precisely limits of tenants are enforced.
    pub limit_tolerance: Tolerance,
    /// How many bytes this node may hold for its callers.
    pub memory: MemoryLimits,
    /// Whether requests that a pool can't begin in time are refused.
    pub sheds_load: bool,
    /// Settings of the retry budget.
    pub retry: RetrySettings,
    /// Settings of connections to engines.
    pub connect: ConnectSettings,
    /// Cost weights of placement.
    pub prices: PlacementPrices,
    /// Settings of rollouts of weights.
    pub rollout: RolloutSettings,
    /// Uptime after which a node follows the caches of engines, having found the other nodes by
    /// then; earlier, each node would follow all of them. `None` follows none.
    pub cache_follow_delay: Option<Duration>,
    /// Maximum number of prefixes whose holders this node records.
    pub max_known_prefixes: usize,
    /// Settings of releases of engine software; `None` where operators order no releases, so that
    /// the source is not asked for release orders.
    pub releases: Option<release::Settings>,
}

impl GatewaySettings {
    /// Maximum age of the confirmation that the configuration is current. API keys depend on it,
    /// and a watch whose connection has fallen silent reports no change.
    pub fn max_configuration_age(&self) -> Duration {
        let for_changes = self.propagation_limit.mul_f64(CONFIRMATION_AGE_FACTOR);
        let for_keys = self.max_unconfirmed_age.unwrap_or(Duration::MAX);
        for_changes.min(for_keys)
    }
}
