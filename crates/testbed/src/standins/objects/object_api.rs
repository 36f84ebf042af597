//! The object API as a running server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::MutexGuard;

use super::handler::ObjectApiHandler;
use super::{ObjectApiFaults, ObjectStore};
use crate::standins::http::HttpServer;

/// The object API as a running server, with its contents and faults at hand.
#[derive(Debug)]
pub struct ObjectApi {
    handler: Arc<ObjectApiHandler>,
    server: HttpServer,
}

impl ObjectApi {
    /// Starts with an empty store; `seed` chooses which answers get lost.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let handler = Arc::new(ObjectApiHandler::new(seed));
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self { handler, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how it misbehaves from now on.
    pub fn set_faults(&self, faults: ObjectApiFaults) {
        self.handler.set_faults(faults);
    }

    /// How it misbehaves.
    pub fn faults(&self) -> ObjectApiFaults {
        self.handler.faults()
    }

    /// Its contents. Do not hold the guard over an await.
    pub fn store(&self) -> MutexGuard<'_, ObjectStore> {
        self.handler.store()
    }

    /// Watches open now.
    pub fn watches(&self) -> usize {
        self.handler.watches()
    }

    /// Writes that took effect and were not answered so far.
    pub fn lost_answers(&self) -> u64 {
        self.handler.lost_answers()
    }

    /// Requests taken so far.
    pub fn requests(&self) -> u64 {
        self.handler.requests()
    }
}
