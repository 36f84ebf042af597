//! Sending requests to engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::idle_connections::IdleConnections;
use super::{AttemptFailure, ConnectSettings, Connection, ConnectionUse, UpstreamAnswer};
use crate::clock::Clock;

/// Idle connections that a repeatable request may use.
const MOST_IDLE: Duration = Duration::from_secs(4);
/// The same for a request that must not run twice: a close that crosses it would lose it.
const MOST_IDLE_UNREPEATABLE: Duration = Duration::from_millis(1_500);

/// Sends requests to engines, on kept connections where possible.
#[derive(Debug)]
pub struct Upstream {
    settings: ConnectSettings,
    clock: Clock,
    idle: RefCell<HashMap<BackEndName, IdleConnections>>,
}

impl Upstream {
    /// Has no connections yet.
    pub fn new(settings: ConnectSettings, clock: Clock) -> Self {
        Self {
            settings,
            clock,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. `used` tells meanwhile on what kind of
    /// connection the request went, once there is one.
    pub async fn send(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_repeatable: bool,
        used: &Cell<Option<ConnectionUse>>,
    ) -> Result<UpstreamAnswer, AttemptFailure> {
        let most_idle = match is_repeatable {
            true => MOST_IDLE,
            false => MOST_IDLE_UNREPEATABLE,
        };
        let mut request = request;
        loop {
            let kept = self.take_idle(engine, address, most_idle);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(address, &self.settings).await?,
            };
            used.set(Some(match is_kept {
                true => ConnectionUse::Kept,
                false => ConnectionUse::New,
            }));
            let sent = connection.sender.try_send_request(request).await;
            let mut failure = match sent {
                Ok(answer) => {
                    let (head, body) = answer.into_parts();
                    return Ok(UpstreamAnswer {
                        head,
                        body,
                        connection,
                    });
                }
                Err(failure) => failure,
            };
            let detail = failure.error().to_string();
            match failure.take_message() {
                Some(unsent) if is_kept => request = unsent,
                Some(_) => return Err(AttemptFailure::NotConnected { detail }),
                None => return Err(AttemptFailure::Broken { detail }),
            }
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(
        &self,
        engine: &BackEndName,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        connection.idle_since = self.clock.now();
        if idle_timeout.is_some() {
            connection.idle_timeout = idle_timeout;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(engine.clone()).or_default().put(connection);
    }

    /// Closes connections that were idle for long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.sweep(now, MOST_IDLE);
            !connections.is_empty()
        });
    }

    /// A request sent at `sent_at` met silence: idle connections to this engine that carried no
    /// answer since are believed no longer, and closed.
    pub fn note_silent(&self, engine: &BackEndName, sent_at: Timestamp) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(engine) {
            connections.close_unused_since(sent_at);
        }
    }

    /// Closes all idle connections to an engine.
    pub fn forget(&self, engine: &BackEndName) {
        self.idle.borrow_mut().remove(engine);
    }

    fn take_idle(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        most_idle: Duration,
    ) -> Option<Connection> {
        let now: Timestamp = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.get_mut(engine)?.take(address, now, most_idle)
    }
}
