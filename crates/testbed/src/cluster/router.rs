//! One router node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::ConfigVersion;
use ryerouter_node::process::{BoundNode, NodeProcess};
use tokio::sync::watch;

use super::{ClusterError, RouterAddresses, RouterOptions, RouterPlace};

/// Pause before an address is tried again that a killed node still holds.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Attempts to bind an address.
const BIND_ATTEMPTS: u32 = 100;

/// A router node with its address for peers bound and nothing running.
pub struct BoundRouter {
    options: RouterOptions,
    node: BoundNode,
}

/// A running router node: the whole process but its main function.
pub struct Router {
    options: RouterOptions,
    node: NodeProcess,
}

impl BoundRouter {
    /// Binds its addresses for peers and operators.
    ///
    /// # Errors
    ///
    /// One cannot be bound.
    pub fn bind(options: RouterOptions) -> Result<Self, ClusterError> {
        let settings = options.settings()?;
        let logger = options.logger.clone();
        let node = BoundNode::bind(settings, None, logger, options.level.clone())?;
        Ok(Self { options, node })
    }

    /// Where peers reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.node.peer_address()
    }

    /// Starts the node, which asks `seeds` first.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub fn start(mut self, seeds: Vec<SocketAddr>) -> Result<Router, ClusterError> {
        self.options.seeds = seeds.clone();
        self.node.set_seeds(seeds);
        let node = self.node.start()?;
        Ok(Router {
            options: self.options,
            node,
        })
    }
}

impl Router {
    /// Its name and place.
    pub fn place(&self) -> &RouterPlace {
        &self.options.place
    }

    /// Where it listens.
    pub fn addresses(&self) -> RouterAddresses {
        self.options.reserved.addresses()
    }

    /// The node itself.
    pub fn node(&self) -> &NodeProcess {
        &self.node
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.snapshots().borrow().catalog.version
    }

    /// Snapshots as they are published.
    pub fn snapshots(&self) -> watch::Receiver<Arc<RoutingSnapshot>> {
        self.node.control().snapshots()
    }

    /// Stops it as planned, so that no request is cut, and gives back what it takes to start again
    /// at the same addresses.
    pub async fn stop(self) -> RouterOptions {
        self.node.stop().await;
        self.options
    }

    /// Ends it at once, as a killed process would, and gives back what it takes to start again at
    /// the same addresses.
    pub async fn kill(self) -> RouterOptions {
        let node = self.node;
        let _ = tokio::task::spawn_blocking(move || node.kill()).await;
        self.options
    }

    /// Starts a killed node again; it knows nothing of its former life but its addresses.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a thread cannot be started.
    pub async fn restart(options: RouterOptions) -> Result<Self, ClusterError> {
        for _ in 1..BIND_ATTEMPTS {
            match Self::start_again(options.clone()) {
                Ok(router) => return Ok(router),
                // The killed node's threads may hold the address for a moment.
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            }
        }
        Self::start_again(options)
    }

    fn start_again(options: RouterOptions) -> Result<Self, ClusterError> {
        let seeds = options.seeds.clone();
        BoundRouter::bind(options)?.start(seeds)
    }
}
