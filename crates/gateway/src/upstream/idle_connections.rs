//! Idle connections to one engine.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::Connection;

/// Most idle connections that are kept to one engine.
const MOST_IDLE: usize = 16;

/// Idle connections to one engine, the latest used first.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: Vec<Connection>,
}

impl IdleConnections {
    pub(super) fn put(&mut self, connection: Connection) {
        if self.connections.len() < MOST_IDLE {
            self.connections.push(connection);
        }
    }

    pub(super) fn take(
        &mut self,
        address: SocketAddr,
        now: Timestamp,
        most_idle: Duration,
    ) -> Option<Connection> {
        while let Some(connection) = self.connections.pop() {
            if connection.address == address && connection.is_usable(now, most_idle) {
                return Some(connection);
            }
        }
        None
    }

    /// Closes those that have been idle for longer than `most_idle`.
    pub(super) fn sweep(&mut self, now: Timestamp, most_idle: Duration) {
        self.connections
            .retain(|connection| connection.is_usable(now, most_idle));
    }

    /// Closes those that carried no answer since `moment`.
    pub(super) fn close_unused_since(&mut self, moment: Timestamp) {
        self.connections
            .retain(|connection| connection.idle_since > moment);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
