//! Settings of an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::identity::WeightsVersion;

use super::{ExecutionLedger, PrefillLedger};
use crate::engine_model::EngineProfile;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The model it serves.
    pub model: String,
    /// Adapters it has loaded.
    pub adapters: Vec<String>,
    /// The weights it starts with.
    pub weights_version: WeightsVersion,
    /// Its speed and sizes.
    pub profile: EngineProfile,
    /// How old the load is that it reports.
    pub load_lag: Duration,
    /// How late it tells of cache events.
    pub event_delay: Duration,
    /// Where it loads weights from; without one they load at once.
    pub weight_store: Option<SocketAddr>,
    /// Where prompt tokens computed are counted, over all engines together.
    pub ledger: Arc<PrefillLedger>,
    /// Where executions are counted, over all engines together.
    pub executions: Arc<ExecutionLedger>,
    /// Seed of its faults.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "model".to_owned(),
            adapters: Vec::new(),
            weights_version: WeightsVersion(1),
            profile: EngineProfile::default(),
            load_lag: Duration::from_millis(500),
            event_delay: Duration::from_millis(200),
            weight_store: None,
            ledger: Arc::default(),
            executions: Arc::default(),
            seed: 1,
        }
    }
}
