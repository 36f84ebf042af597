//! The KV store as a running server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::handler::KvStoreHandler;
use crate::standins::http::HttpServer;

/// The KV store as a running server.
#[derive(Debug)]
pub struct KvStore {
    handler: Arc<KvStoreHandler>,
    server: HttpServer,
}

impl KvStore {
    /// Starts empty.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> io::Result<Self> {
        let handler = Arc::new(KvStoreHandler::default());
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self { handler, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Prefixes it keeps.
    pub fn prefixes(&self) -> usize {
        self.handler.prefixes()
    }

    /// Imports it served so far.
    pub fn reads(&self) -> u64 {
        self.handler.reads()
    }

    /// Whether it answers at all.
    pub fn set_down(&self, down: bool) {
        self.handler.set_down(down);
    }
}
