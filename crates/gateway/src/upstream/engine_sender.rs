//! Sending requests to engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::path::TunnelPeer;

use super::answer_times::LEAST_PATIENCE;
use super::final_status::check_final;
use super::hearings::Hearings;
use super::idle_connections::IdleConnections;
use super::malformed::is_malformed;
use super::opening_connections::OpeningConnections;
use super::{
    AttemptFailure, ConnectSettings, Connection, ConnectionUse, Dialer, Silence, UpstreamAnswer,
};
use crate::clock::Clock;
use crate::peers::NodeIdentity;

/// Idle connections that a repeatable request may use.
const MOST_IDLE: Duration = Duration::from_secs(4);
/// The same for a request that must not run twice: a close that crosses it would lose it.
const MOST_IDLE_UNREPEATABLE: Duration = Duration::from_millis(1_500);
/// A connection may have fallen silent since it was last heard from, which [`Silence`] tells only once
/// some call has shown it. So one that was open as long must have been heard from within this time,
/// which is what an answer may take anyway; opening another connection costs a round trip.
const MOST_UNHEARD: Duration = LEAST_PATIENCE;

/// Tunnels that may be lost before a request is sent on one.
const MAX_LOST_TUNNELS: usize = 2;

/// Opening a connection within a region takes a few milliseconds.
const LATE_CONNECTION: Duration = Duration::from_millis(100);

/// Sends requests to engines, on kept connections where possible.
#[derive(Debug)]
pub struct Upstream {
    clock: Clock,
    dialer: Dialer,
    silence: Rc<Silence>,
    hearings: Hearings,
    idle: RefCell<HashMap<BackEndName, IdleConnections>>,
    opening: OpeningConnections,
}

impl Upstream {
    /// Has no connections yet.
    pub fn new(settings: ConnectSettings, clock: Clock) -> Self {
        Self {
            clock,
            dialer: Dialer::new(settings, clock),
            silence: Rc::default(),
            hearings: Hearings::default(),
            idle: RefCell::default(),
            opening: OpeningConnections::default(),
        }
    }

    /// Asks other nodes for tunnels as the node `identity`.
    pub fn with_identity(mut self, identity: &NodeIdentity) -> Self {
        self.dialer.set_identity(identity);
        self
    }

    /// Opens the connections.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    /// Replaces the nodes that may be asked for tunnels. Idle connections through others are closed.
    pub fn set_tunnel_peers(&self, peers: Vec<TunnelPeer>) {
        self.dialer.set_peers(peers);
        let is_kept = |connection: &Connection| {
            let tunnel = connection.tunnel.as_ref();
            tunnel.is_none_or(|(peer, _)| self.dialer.has_peer(peer))
        };
        self.retain_idle(is_kept);
    }

    /// Probes an engine; returns whether it was reached. Idle tunnels are closed once its direct path works again.
    pub async fn probe(&self, engine: &BackEndName, address: SocketAddr) -> bool {
        let Some(connection) = self.dialer.probe(engine, address).await else {
            return false;
        };
        if connection.tunnel.is_none() {
            self.retain_idle(|connection| connection.tunnel.is_none());
        }
        self.keep(engine, connection, None);
        true
    }

    fn retain_idle(&self, is_kept: impl Fn(&Connection) -> bool) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(&is_kept);
        }
    }

    /// When connections were last shown to have fallen silent; calls to other servers share it.
    pub fn silence(&self) -> &Rc<Silence> {
        &self.silence
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
        let mut lost_tunnels = 0;
        loop {
            let kept = self.take_idle(engine, address, most_idle);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    let _opening = self.opening.begin(engine, self.clock.now());
                    self.dialer.open(engine, address).await?
                }
            };
            used.set(Some(match is_kept {
                true => ConnectionUse::Reused,
                false => ConnectionUse::New,
            }));
            let sent = connection.send(request).await;
            let mut failure = match sent {
                Ok(answer) => {
                    self.note_received(&connection);
                    if let Err(detail) = check_final(answer.status()) {
                        return Err(AttemptFailure::NoAnswer { detail });
                    }
                    let (head, body) = answer.into_parts();
                    return Ok(UpstreamAnswer {
                        head,
                        body,
                        connection,
                        is_kept,
                    });
                }
                Err(failure) => failure,
            };
            let detail = connection.failure_detail(failure.error());
            let is_tunnel_lost = connection.is_tunnel_lost();
            if is_tunnel_lost {
                lost_tunnels += 1;
                self.note_ended(&connection);
            }
            let is_tried_again = is_kept || is_tunnel_lost && lost_tunnels <= MAX_LOST_TUNNELS;
            match failure.take_message() {
                Some(unsent) if is_tried_again => {
                    request = unsent;
                    // The next connection is yet to be opened, and nothing was written so far.
                    used.set(None);
                }
                // It is the nodes that are out of reach, not the engine.
                Some(_) if is_tunnel_lost => return Err(AttemptFailure::OutOfReach),
                Some(_) => {
                    let is_timeout = false;
                    return Err(AttemptFailure::NotConnected { detail, is_timeout });
                }
                None => {
                    if !is_kept && !connection.has_received() {
                        self.note_broken(engine, &connection);
                    }
                    if is_malformed(failure.error()) && !is_tunnel_lost {
                        return Err(AttemptFailure::NoAnswer { detail });
                    }
                    return Err(AttemptFailure::Broken {
                        detail,
                        is_kept,
                        is_tunnel_lost,
                    });
                }
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
        self.note_received(&connection);
        match &connection.tunnel {
            None => self.dialer.note_answered(engine),
            Some((node, _)) => self.dialer.note_tunnel_answered(node),
        }
        if idle_timeout.is_some() {
            connection.idle_timeout = idle_timeout;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(engine.clone()).or_default().put(connection);
    }

    /// A connection has carried a part of an answer.
    pub fn note_received(&self, connection: &Connection) {
        let now = self.clock.now();
        connection.heard_at.set(now);
        self.hearings.note(connection.opened_at, now);
    }

    /// A connection has ended before its answer. If it was a tunnel that was lost, other nodes are preferred for a time.
    pub fn note_ended(&self, connection: &Connection) {
        if let Some(node) = connection.lost_through() {
            self.dialer.note_tunnel_lost(node);
        }
    }

    /// A new connection broke before the engine sent anything: the way may be at fault. The node of a tunnel may be cut off
    /// itself and not know it yet.
    fn note_broken(&self, engine: &BackEndName, connection: &Connection) {
        match &connection.tunnel {
            None => self.dialer.note_broken(engine),
            Some((node, _)) => self.dialer.note_tunnel_lost(node),
        }
    }

    /// Number of engines to which a connection has been opening for longer than that takes.
    pub fn late_engines(&self, now: Timestamp) -> usize {
        self.opening.engines_before(now.before(LATE_CONNECTION))
    }

    /// Closes connections that were idle for long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        self.hearings.forget_before(now.before(MOST_IDLE));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.sweep(now, MOST_IDLE, &self.silence);
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an engine.
    pub fn forget(&self, engine: &BackEndName) {
        self.idle.borrow_mut().remove(engine);
    }

    /// A request that was written to a kept connection of an engine at `sent_at` got no sign of life
    /// in time. The engine's other idle connections that have had no answer since then may have
    /// fallen silent with it, so they are closed; returns how many.
    pub fn note_silent(&self, engine: &BackEndName, sent_at: Timestamp) -> usize {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(engine);
        connections.map_or(0, |connections| connections.close_unheard_since(sent_at))
    }

    fn take_idle(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        most_idle: Duration,
    ) -> Option<Connection> {
        let now: Timestamp = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let is_believed = |heard_at| {
            let last = self.hearings.last_of_open_at(heard_at);
            last.is_some_and(|last| now.since(last) < MOST_UNHEARD)
        };
        idle.get_mut(engine)?
            .take(address, now, most_idle, &self.silence, is_believed)
    }
}
