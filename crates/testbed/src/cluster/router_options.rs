//! What a router node must be told to start.

use std::net::SocketAddr;
use std::sync::Arc;

use ryerouter_node::logging::LevelSwitch;
use ryerouter_settings::{NodeSettings, SettingOverride, SettingsError};
use slog::Logger;

use super::{ReservedAddresses, RouterPlace};

/// What a router node must be told to start.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// Its name and place.
    pub place: RouterPlace,
    /// Where it listens, also after a restart.
    pub reserved: Arc<ReservedAddresses>,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The object API.
    pub object_api: SocketAddr,
    /// The machine list.
    pub machine_list: SocketAddr,
    /// Traffic threads.
    pub traffic_threads: usize,
    /// Where it logs.
    pub logger: Logger,
    /// What it logs.
    pub level: LevelSwitch,
}

impl RouterOptions {
    /// Its settings, as a settings file would give them.
    ///
    /// # Errors
    ///
    /// A name or number cannot be used.
    pub fn settings(&self) -> Result<NodeSettings, SettingsError> {
        let addresses = self.reserved.addresses();
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let values = [
            ("name", self.place.name.to_string()),
            ("region", self.place.region.to_string()),
            ("data_centre", self.place.data_centre.to_string()),
            ("zone", self.place.zone.to_string()),
            ("listen.callers", addresses.callers.to_string()),
            ("listen.rpc", addresses.operators.to_string()),
            ("listen.peers", addresses.peers.to_string()),
            ("peers.seeds", seeds.join(",")),
            ("platform.object_api", self.object_api.to_string()),
            ("platform.machine_list", self.machine_list.to_string()),
            ("threads.traffic", self.traffic_threads.to_string()),
        ];
        let given = values.iter().filter(|(_, value)| !value.is_empty());
        let overrides: Vec<SettingOverride> = given
            .map(|(path, value)| SettingOverride::new(path, value))
            .collect();
        ryerouter_settings::parse("", &overrides)
    }
}
