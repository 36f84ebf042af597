//! An engine as a running server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::engine_core::EngineCore;
use super::handler::EngineHandler;
use super::{EngineFaults, EngineSettings, TakenCounter};
use crate::engine_model::EngineStatus;
use crate::standins::http::HttpServer;

/// An engine as a running server.
#[derive(Debug)]
pub struct Engine {
    core: Arc<EngineCore>,
    handler: Arc<EngineHandler>,
    server: HttpServer,
}

impl Engine {
    /// Starts with an empty cache on a free port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let core = EngineCore::start(settings);
        let handler = Arc::new(EngineHandler::new(Arc::clone(&core)));
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self {
            core,
            handler,
            server,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its settings.
    pub fn settings(&self) -> &EngineSettings {
        self.core.settings()
    }

    /// What it would truthfully say of itself.
    pub fn status(&self) -> EngineStatus {
        self.core.status()
    }

    /// Counts the attempts it takes.
    pub fn taken_counter(&self) -> TakenCounter {
        self.core.taken_counter()
    }

    /// Newest number it took orders under.
    pub fn fencing_number(&self) -> u64 {
        self.core.fencing_number()
    }

    /// Sets how it misbehaves from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.set_faults(faults);
    }

    /// Dies: cuts every connection, loses all work and its cache, and stops listening.
    pub async fn crash(&self) {
        self.server.stop().await;
        self.core.lose_everything();
    }

    /// Comes back after a crash on the same port, empty and under a new incarnation.
    ///
    /// # Errors
    ///
    /// The port is taken.
    pub async fn restart(&mut self) -> io::Result<()> {
        let address = self.server.address();
        self.server = HttpServer::start_at(address, Arc::clone(&self.handler)).await?;
        Ok(())
    }
}
