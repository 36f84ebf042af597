//! Unused connections to back ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::EngineConnection;

/// Unused connections of one traffic thread.
///
/// Only a connection whose last answer was read to its end comes here; all others are closed.
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<EngineConnection>>>,
    per_back_end: usize,
    idle_timeout: Duration,
}

impl ConnectionPool {
    pub(crate) fn new(per_back_end: usize, idle_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            per_back_end,
            idle_timeout,
        }
    }

    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<EngineConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        let mut context = Context::from_waker(Waker::noop());
        while let Some(mut connection) = connections.pop() {
            if connection.check_usable(&mut context) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, mut connection: EngineConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.per_back_end {
            connections.push(connection);
        }
    }

    /// Closes the unused connections to a back end that brought no answer since `silent_since`, and
    /// says how many.
    ///
    /// A connection on which a request that was sent then has no answer may have fallen silent, and
    /// what silenced it, such as a proxy that lost its table, may have silenced them with it.
    pub(crate) fn close_unheard(&self, address: SocketAddr, silent_since: Instant) -> usize {
        let mut idle = self.idle.lock();
        let Some(connections) = idle.get_mut(&address) else {
            return 0;
        };
        let before = connections.len();
        connections.retain(|connection| connection.idle_since > silent_since);
        before - connections.len()
    }

    /// Closes connections that were closed by their peer or unused for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut context = Context::from_waker(Waker::noop());
        let mut idle = self.idle.lock();
        idle.retain(|_, connections| {
            connections.retain_mut(|connection| {
                let unused = now.duration_since(connection.idle_since);
                unused < self.idle_timeout && connection.check_usable(&mut context)
            });
            !connections.is_empty()
        });
    }
}
