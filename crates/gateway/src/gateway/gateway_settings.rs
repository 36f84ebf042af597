//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::quota::Tolerance;
use ryerouter_core::release;

use crate::peers::NodeIdentity;
use crate::placement::PlacementPrices;
use crate::places::Places;
use crate::retry::RetrySettings;
use crate::rollout::RolloutSettings;
use crate::upstream::ConnectSettings;

/// A proof that the configuration is current is asked for at two fifths of the age that is allowed,
/// at the latest. With this many bounds as the allowed age that leaves four tenths of the bound to ask
/// and to tell the others, as it does for other items.
const CONFIRMATION_AGE_FACTOR: f64 = 1.4;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Who it is.
    pub identity: NodeIdentity,
    /// Which zone lies in which region.
    pub places: Places,
    /// Where other nodes may be.
    pub seeds: Vec<SocketAddr>,
    /// Requests with a key are refused when the configuration was not proven current for so long;
    /// `None` accepts keys of any age.
    pub max_unconfirmed_age: Option<Duration>,
    /// Older weights may be used for so long after newer ones were named.
    pub weights_grace: Duration,
    /// Of the time that older weights may be used in all, so much was kept for the news to arrive.
    pub weights_propagation_time: Duration,
    /// Weights that were named before this process started are taken to be at least so old, until
    /// another node tells.
    pub assumed_weights_age: Duration,
    /// An engine whose entry went while the source was in trouble may be used for so long.
    pub unlisted_grace: Duration,
    /// Entries of engines that live lapse only when the source stands still for so long.
    pub entry_ttl: Duration,
    /// Changes of what the source holds must be in force within this time.
    pub propagation_limit: Duration,
    /// How exactly limits of tenants are held.
    pub limit_tolerance: Tolerance,
    /// The retry budget.
    pub retry: RetrySettings,
    /// Connections to engines.
    pub connect: ConnectSettings,
    /// Prices of placement.
    pub prices: PlacementPrices,
    /// Rollouts of weights.
    pub rollout: RolloutSettings,
    /// A node follows the caches of engines once it has run for so long and has heard of the others:
    /// before, each would follow them all. `None` follows none.
    pub cache_follow_delay: Option<Duration>,
    /// Prefixes whose holders are remembered.
    pub remembered_prefixes: usize,
    /// How releases of engine software are bounded; `None` where operators order none, and the source is
    /// then not asked for them.
    pub releases: Option<release::Settings>,
}

impl GatewaySettings {
    /// How old the proof that the configuration is current may become: keys depend on it, and a watch
    /// whose connection has fallen silent tells of no change.
    pub fn max_configuration_age(&self) -> Duration {
        let for_changes = self.propagation_limit.mul_f64(CONFIRMATION_AGE_FACTOR);
        let for_keys = self.max_unconfirmed_age.unwrap_or(Duration::MAX);
        for_changes.min(for_keys)
    }
}
