//! Opens connections to engines, directly or through other nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_core::path::{ConnectPlan, PathChange, PathTable, TunnelPeer, TunnelPeers};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::{AttemptFailure, ConnectCounts, ConnectSettings, Connection, connect};
use crate::clock::Clock;
use crate::peers::NodeIdentity;
use crate::tunnel::{EngineStream, Question, TunnelError, dial};

/// A further node is asked for a tunnel when the one before has not answered within this time.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of nodes that are asked for one connection.
const MAX_PEERS_ASKED: usize = 4;
/// An engine that so many nodes could not reach is out of reach of all.
const MAX_UNREACHED: usize = 2;
/// A probe succeeds when its connection is still alive at so many checks. Whatever stands before an engine may accept
/// connections and reset them later, and the tunnels serve meanwhile.
const PROBE_CHECKS: usize = 10;
/// Time before each check. A node that stands still makes one check late, not all of them.
const PROBE_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest time for opening a connection, in multiples of the time for a direct one.
const MAX_TIME_FACTOR: u32 = 2;

/// Opens connections to engines, directly or through other nodes.
#[derive(Debug)]
pub struct Dialer {
    settings: ConnectSettings,
    clock: Clock,
    /// Name of this node, for the nodes that are asked for tunnels.
    name: NodeName,
    paths: RefCell<PathTable>,
    peers: RefCell<TunnelPeers>,
    connects: Cell<ConnectCounts>,
}

impl Dialer {
    pub(super) fn new(settings: ConnectSettings, clock: Clock) -> Self {
        Self {
            settings,
            clock,
            name: NodeName::new(""),
            paths: RefCell::default(),
            peers: RefCell::default(),
            connects: Cell::default(),
        }
    }

    pub(super) fn set_identity(&mut self, identity: &NodeIdentity) {
        self.name = identity.name.clone();
        self.peers = RefCell::new(TunnelPeers::new(identity.incarnation));
    }

    /// Replaces the nodes that may be asked for tunnels.
    pub(super) fn set_peers(&self, peers: Vec<TunnelPeer>) {
        self.peers.borrow_mut().set(peers, self.clock.now());
    }

    /// Whether a node may be asked for tunnels.
    pub(super) fn has_peer(&self, name: &NodeName) -> bool {
        self.peers.borrow().contains(name)
    }

    /// Forgets paths to engines that are not listed any more.
    pub fn retain_engines(&self, is_listed: impl Fn(&BackEndName) -> bool) {
        self.paths.borrow_mut().retain(is_listed);
    }

    /// Whether this node is known to have lost its link to an engine.
    pub fn is_blocked(&self, engine: &BackEndName) -> bool {
        self.paths.borrow().is_blocked(engine)
    }

    /// Whether this node has lost its links to most engines.
    pub fn is_cut_off(&self) -> bool {
        self.paths.borrow().is_cut_off(self.clock.now())
    }

    /// Number of engines that are reached only through other nodes.
    pub fn blocked_count(&self) -> usize {
        self.paths.borrow().blocked_count()
    }

    /// The engine whose direct path is to be probed now, if any.
    pub fn take_probe(&self) -> Option<BackEndName> {
        self.paths.borrow_mut().take_probe(self.clock.now())
    }

    /// Changes of paths since the last call.
    pub fn take_changes(&self) -> Vec<PathChange> {
        self.paths.borrow_mut().take_changes()
    }

    /// Outcomes of opening connections since the last call.
    pub fn take_connects(&self) -> ConnectCounts {
        self.connects.take()
    }

    /// Records that an engine answered on a direct connection.
    pub(super) fn note_answered(&self, engine: &BackEndName) {
        self.paths
            .borrow_mut()
            .note_answered(engine, self.clock.now());
    }

    /// Records that a new direct connection to an engine broke before the engine sent anything.
    pub(super) fn note_broken(&self, engine: &BackEndName) {
        self.paths
            .borrow_mut()
            .note_broken(engine, self.clock.now());
    }

    /// Records that a tunnel through a node was lost.
    pub(super) fn note_tunnel_lost(&self, node: &NodeName) {
        self.peers.borrow_mut().note_lost(node, self.clock.now());
    }

    /// Records that a tunnel through a node has carried an answer.
    pub(super) fn note_tunnel_answered(&self, node: &NodeName) {
        self.peers.borrow_mut().note_answered(node);
    }

    /// Tries the direct path to an engine, and other nodes as well if none has reached it.
    pub(super) async fn probe(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
    ) -> Option<Connection> {
        let is_out_of_reach = self
            .paths
            .borrow()
            .is_out_of_reach(engine, self.clock.now());
        if is_out_of_reach {
            let plan = ConnectPlan::Direct {
                tunnel_after: Duration::ZERO,
            };
            return self.race(engine, address, plan).await.ok();
        }
        let stream = connect(address, &self.settings).await.ok()?;
        let stream = EngineStream::Left(stream);
        let connection = Connection::new(stream, address, self.clock).await.ok()?;
        for _ in 0..PROBE_CHECKS {
            sleep(PROBE_CHECK_DELAY).await;
            if connection.is_closed() {
                return None;
            }
        }
        let now = self.clock.now();
        self.paths.borrow_mut().note_probed(engine, now);
        Some(connection)
    }

    /// Opens a connection by whichever way works first.
    pub(super) async fn open(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
    ) -> Result<Connection, AttemptFailure> {
        let plan = self.paths.borrow().plan(engine, self.clock.now());
        if plan == ConnectPlan::OutOfReach {
            return Err(AttemptFailure::OutOfReach);
        }
        let opened = self.race(engine, address, plan).await;
        let mut connects = self.connects.get();
        connects.count(opened.as_ref().err());
        self.connects.set(connects);
        opened
    }

    /// Opens a connection within the time for it, and records if nothing responds.
    async fn race(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        plan: ConnectPlan,
    ) -> Result<Connection, AttemptFailure> {
        let limit = self.settings.timeout * MAX_TIME_FACTOR;
        let opened = timeout(limit, self.open_either_way(engine, address, plan)).await;
        let opened = opened.unwrap_or_else(|_| {
            Err(AttemptFailure::NotConnected {
                detail: "no way to the engine in time".to_owned(),
                is_timeout: true,
            })
        });
        let is_timeout = matches!(
            opened,
            Err(AttemptFailure::NotConnected {
                is_timeout: true,
                ..
            })
        );
        if is_timeout {
            let now = self.clock.now();
            self.paths.borrow_mut().note_out_of_reach(engine, now);
        }
        opened
    }

    async fn open_either_way(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
        plan: ConnectPlan,
    ) -> Result<Connection, AttemptFailure> {
        let has_failed = Notify::new();
        let wait = async |time: Option<Duration>| match time {
            Some(time) => {
                tokio::select! {
                    () = sleep(time) => {}
                    () = has_failed.notified() => {}
                }
            }
            None => has_failed.notified().await,
        };
        let (direct_after, tunnel_after) = match plan {
            ConnectPlan::Direct { tunnel_after } => (Some(Duration::ZERO), Some(tunnel_after)),
            ConnectPlan::Tunnel | ConnectPlan::OutOfReach => (None, Some(Duration::ZERO)),
        };
        let mut direct = pin!(async {
            if direct_after != Some(Duration::ZERO) {
                wait(direct_after).await;
            }
            let opened = self.open_direct(engine, address).await;
            has_failed.notify_one();
            opened
        });
        let mut tunnel = pin!(async {
            if tunnel_after != Some(Duration::ZERO) {
                wait(tunnel_after).await;
            }
            let opened = self.open_tunnel(engine, address).await;
            has_failed.notify_one();
            opened
        });
        tokio::select! {
            biased;
            opened = &mut direct => match opened {
                Ok(connection) => Ok(connection),
                Err(failure) => {
                    let tunneled = tunnel.await;
                    self.blocked(engine, tunneled).ok_or(failure)
                }
            },
            tunneled = &mut tunnel => match self.blocked(engine, tunneled) {
                Some(connection) => Ok(connection),
                None => direct.await,
            },
        }
    }

    /// Records that an engine is reached through another node, where the direct path has failed or is late.
    fn blocked(
        &self,
        engine: &BackEndName,
        tunneled: Result<Connection, TunnelError>,
    ) -> Option<Connection> {
        let connection = tunneled.ok()?;
        self.paths
            .borrow_mut()
            .note_blocked(engine, self.clock.now());
        Some(connection)
    }

    /// Opens a direct connection.
    async fn open_direct(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
    ) -> Result<Connection, AttemptFailure> {
        let stream = connect(address, &self.settings).await?;
        let stream = EngineStream::Left(stream);
        let connection = Connection::new(stream, address, self.clock).await?;
        self.paths
            .borrow_mut()
            .note_connected(engine, self.clock.now());
        Ok(connection)
    }

    /// Asks other nodes for a tunnel, one after the other, until one has connected to the engine.
    async fn open_tunnel(
        &self,
        engine: &BackEndName,
        address: SocketAddr,
    ) -> Result<Connection, TunnelError> {
        let candidates = self.peers.borrow().candidates(engine, self.clock.now());
        let question = Question {
            from: self.name.clone(),
            engine: engine.clone(),
        };
        let mut candidates = candidates.into_iter().take(MAX_PEERS_ASKED);
        let mut asked = FuturesUnordered::new();
        let mut unreached = 0;
        let mut last_error = TunnelError::NoPeer;
        loop {
            let next = candidates.next();
            let has_next = next.is_some();
            asked.extend(next.map(|peer| self.ask(peer, &question, address)));
            tokio::select! {
                biased;
                Some(outcome) = asked.next() => match outcome {
                    Ok(connection) => return Ok(connection),
                    Err(error) => {
                        unreached += usize::from(error.is_of_engine());
                        last_error = error;
                        if unreached >= MAX_UNREACHED {
                            return Err(last_error);
                        }
                    }
                },
                () = sleep(NEXT_PEER_DELAY), if has_next => {}
                else => return Err(last_error),
            }
        }
    }

    async fn ask(
        &self,
        peer: TunnelPeer,
        question: &Question,
        address: SocketAddr,
    ) -> Result<Connection, TunnelError> {
        let asked = self.open_through(&peer, question, address).await;
        if let Err(error) = &asked
            && !error.is_of_engine()
        {
            let now = self.clock.now();
            self.peers.borrow_mut().note_refused(&peer.name, now);
        }
        asked
    }

    async fn open_through(
        &self,
        peer: &TunnelPeer,
        question: &Question,
        address: SocketAddr,
    ) -> Result<Connection, TunnelError> {
        let (stream, loss) = dial(peer.address, question, &self.settings).await?;
        let connection = Connection::new(stream, address, self.clock).await;
        let mut connection = connection.map_err(TunnelError::Handshake)?;
        connection.tunnel = Some((peer.name.clone(), loss));
        Ok(connection)
    }
}
