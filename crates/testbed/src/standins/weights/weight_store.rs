//! The weight store as a running server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::WeightLoadProfile;
use super::handler::WeightStoreHandler;
use crate::standins::http::HttpServer;

/// The weight store as a running server.
#[derive(Debug)]
pub struct WeightStore {
    handler: Arc<WeightStoreHandler>,
    server: HttpServer,
}

impl WeightStore {
    /// Starts with the given speed.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(profile: WeightLoadProfile) -> io::Result<Self> {
        let handler = Arc::new(WeightStoreHandler::new(profile));
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self { handler, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Loads finished so far.
    pub fn loads(&self) -> u64 {
        self.handler.loads()
    }

    /// Most loads that ever ran at once.
    pub fn most_at_once(&self) -> u32 {
        self.handler.most_at_once()
    }
}
