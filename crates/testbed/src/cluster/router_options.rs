//! What a router node must be told to start.

use std::net::SocketAddr;

use ryerouter_core::identity::Incarnation;
use ryerouter_node::control::ControlOptions;
use ryerouter_node::platform::PlatformLimits;
use slog::Logger;

use super::{RouterAddresses, RouterPlace};

/// What a router node must be told to start.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// Its name and place.
    pub place: RouterPlace,
    /// Where it listens.
    pub addresses: RouterAddresses,
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
}

impl RouterOptions {
    /// Options of its control side.
    pub(super) fn control_options(&self, incarnation: Incarnation) -> ControlOptions {
        ControlOptions {
            name: self.place.name.clone(),
            incarnation,
            region: self.place.region.clone(),
            data_centre: self.place.data_centre.clone(),
            zone: self.place.zone.clone(),
            peer_listen: self.addresses.peers,
            seeds: self.seeds.clone(),
            object_api: self.object_api,
            machine_list: self.machine_list,
            platform_limits: PlatformLimits::default(),
            machine_list_interval: ControlOptions::MACHINE_LIST_INTERVAL,
            seed: rand::random(),
        }
    }
}
