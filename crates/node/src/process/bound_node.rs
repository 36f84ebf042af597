//! A node with its addresses bound.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use ryerouter_core::identity::Incarnation;
use ryerouter_settings::NodeSettings;
use slog::{Logger, o, warn};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::control::BoundControl;
use crate::logging::LevelSwitch;
use crate::rpc::{RpcContext, RpcServer};
use crate::traffic::{ObservationSink, RunningNode, TrafficSettings};

use super::settings_conversion::{control_options, traffic_settings};
use super::{KeySet, NodeProcess, ProcessError, SettingsReloader, SettingsSource};

/// A node with its addresses for peers and operators bound, so that port 0 has become a real one
/// before others need to know it. Nothing runs yet.
pub struct BoundNode {
    settings: NodeSettings,
    source: Option<SettingsSource>,
    control: BoundControl,
    rpc: RpcServer,
    keys: KeySet,
    clock: Clock,
    logger: Logger,
    level: LevelSwitch,
}

impl BoundNode {
    /// Reads keys and certificates and binds the addresses. Must be called within a runtime, which
    /// then serves the operator RPC. `source` is read again on a reload.
    pub fn bind(
        settings: NodeSettings,
        source: Option<SettingsSource>,
        logger: Logger,
        level: LevelSwitch,
    ) -> Result<Self, ProcessError> {
        let clock = Clock::start();
        let keys = KeySet::load(&settings)?;
        // A restart gets a higher incarnation, which outdates what peers believe of the former one.
        let incarnation = Incarnation(clock.now().as_millis());
        let mut control = BoundControl::bind(control_options(&settings, incarnation))?;
        if let Some(peers) = &keys.peers {
            control.set_peer_tls(peers.clone());
        }
        if let Some(seal) = &keys.seal {
            control.set_datagram_seal(seal.clone());
        }
        let address = settings.listen.rpc;
        let rpc = RpcServer::bind(address, keys.rpc.clone())
            .map_err(|source| ProcessError::RpcListen { address, source })?;
        Ok(Self {
            settings,
            source,
            control,
            rpc,
            keys,
            clock,
            logger,
            level,
        })
    }

    /// Where peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.control.peer_address()
    }

    /// Where operators reach this node.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc.address()
    }

    /// Replaces the peers to ask first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.control.set_seeds(seeds);
    }

    /// Starts everything.
    pub fn start(self) -> Result<NodeProcess, ProcessError> {
        let logger = self
            .logger
            .new(o!("node" => self.settings.name.to_string()));
        self.warn_of_open_doors(&logger);
        let peer_metrics = self.control.peer_metrics().clone();
        let rpc_address = self.rpc.address();
        let control = self.control.start(self.clock, &self.logger)?;
        let handle = control.handle();
        let traffic = RunningNode::start(
            TrafficSettings {
                tls: self.keys.callers.clone(),
                ..traffic_settings(&self.settings)
            },
            handle.snapshots(),
            Arc::new(handle.claims()),
            ObservationSink::new(handle.observations()),
            self.logger.clone(),
        )?;
        let feed = traffic.limit_tenants(handle.limit_sends());
        handle.set_grant_sink(Box::new(feed))?;
        if let Err(cause) = peer_metrics.register(traffic.metrics_registry()) {
            warn!(logger, "metrics_not_shown"; "cause" => %cause);
        }
        let access = self.keys.access.clone();
        let reloader = Arc::new(SettingsReloader {
            source: self.source,
            started: self.settings.clone(),
            current: Mutex::new(self.settings.clone()),
            keys: self.keys,
            level: self.level,
        });
        let context = RpcContext {
            node: self.settings.name.clone(),
            control: handle.clone(),
            access,
            traffic: traffic.insight(),
            reloader: reloader.clone(),
            clock: self.clock,
            logger: logger.clone(),
        };
        let rpc_shutdown = CancellationToken::new();
        let rpc = tokio::spawn(self.rpc.serve(Arc::new(context), rpc_shutdown.clone()));
        Ok(NodeProcess::new(
            control,
            traffic,
            reloader,
            rpc_address,
            rpc,
            rpc_shutdown,
            logger,
        ))
    }

    fn warn_of_open_doors(&self, logger: &Logger) {
        if self.keys.is_open() && !self.rpc.address().ip().is_loopback() {
            warn!(logger, "operators_unchecked"; "listen" => %self.rpc.address(),
                "advice" => "set operators.keys_file");
        }
        let peers_checked = self.keys.peers.is_some() && self.keys.seal.is_some();
        if !peers_checked && !self.peer_address().ip().is_loopback() {
            warn!(logger, "peers_unchecked"; "listen" => %self.peer_address(),
                "advice" => "set tls.peers.* and peers.key_file");
        }
    }
}
