//! A plain service as a running server.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::PlainServiceFaults;
use super::handler::PlainServiceHandler;
use crate::standins::http::HttpServer;

/// A plain service as a running server. It counts how often it ran each request, so that a double
/// execution shows.
#[derive(Debug)]
pub struct PlainService {
    handler: Arc<PlainServiceHandler>,
    server: HttpServer,
}

impl PlainService {
    /// Starts on a free port; `seed` chooses which answers get lost.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let handler = Arc::new(PlainServiceHandler::new(seed));
        let server = HttpServer::start(Arc::clone(&handler)).await?;
        Ok(Self { handler, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how it misbehaves from now on.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.handler.set_faults(faults);
    }

    /// How it misbehaves.
    pub fn faults(&self) -> PlainServiceFaults {
        self.handler.faults()
    }

    /// Executions so far by the key in the request's body or path.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.handler.executions()
    }

    /// Executions so far under one key.
    pub fn executions_of(&self, key: &str) -> u32 {
        self.handler.executions_of(key)
    }

    /// What it answers to a request with this path and body.
    pub fn expected_answer(path_and_query: &str, body: &[u8]) -> String {
        super::handler::answer_text(path_and_query, body)
    }

    /// Cuts every connection and stops listening, as a crash would; what it counted stays.
    pub async fn crash(&self) {
        self.server.stop().await;
    }

    /// Listens again on the same port after a crash.
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
