//! Idle connections to one engine.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{Connection, Silence};

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
        silence: &Silence,
        is_believed: impl Fn(Timestamp) -> bool,
    ) -> Option<Connection> {
        while let Some(connection) = self.connections.pop() {
            let heard_at = connection.heard_at.get();
            if !is_believed(heard_at) {
                // Nor are those that have been idle for longer; news of them may still come.
                self.connections.push(connection);
                return None;
            }
            let is_suspect = silence.is_suspect(heard_at);
            let is_usable = connection.is_usable(now, most_idle) && !is_suspect;
            if connection.address == address && is_usable {
                return Some(connection);
            }
        }
        None
    }

    /// Closes those for which this does not hold.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&Connection) -> bool) {
        self.connections.retain(is_kept);
    }

    /// Closes those that have been idle for longer than `most_idle`, and those that are suspect.
    pub(super) fn sweep(&mut self, now: Timestamp, most_idle: Duration, silence: &Silence) {
        self.connections.retain(|connection| {
            let is_suspect = silence.is_suspect(connection.heard_at.get());
            connection.is_usable(now, most_idle) && !is_suspect
        });
    }

    /// Closes those without an answer since then, and tells how many.
    pub(super) fn close_unheard_since(&mut self, since: Timestamp) -> usize {
        let before = self.connections.len();
        self.connections
            .retain(|connection| connection.heard_at.get() >= since);
        before - self.connections.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
