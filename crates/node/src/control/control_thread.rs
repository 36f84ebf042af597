//! Start of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use ryerouter_core::control::{ControlSettings, ControlState};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_wire::peer::{DatagramSeal, PEER_PROTOCOL_VERSION, PeerHello};
use slog::{Logger, o};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::peer::{
    DatagramLink, PeerContext, PeerMetrics, PeerSockets, PeerTls, StreamLinks, StreamServer,
};

use super::{
    ChangeLog, ControlClaimGate, ControlError, ControlHandle, ControlInput, ControlIo, ControlLoop,
    ControlOptions, PendingOperations,
};

/// Events that may wait for the control thread.
const EVENT_QUEUE: usize = 4_096;
/// Commands of other threads that may wait for the control thread.
const COMMAND_QUEUE: usize = 1_024;
/// Messages about tenants' limits that may wait for the control thread; a lost one is repeated.
const LIMIT_QUEUE: usize = 4_096;
/// Observations of traffic threads that may wait for the control thread.
const OBSERVATION_QUEUE: usize = 4_096;

/// The control side of a node with its addresses bound but nothing running yet.
pub struct BoundControl {
    options: ControlOptions,
    peers: PeerSockets,
    peer_tls: Option<PeerTls>,
    seal: Option<Arc<ArcSwap<DatagramSeal>>>,
    metrics: PeerMetrics,
}

/// A running control thread.
pub struct ControlThread {
    handle: ControlHandle,
    peer_address: SocketAddr,
    thread: JoinHandle<()>,
    abort: CancellationToken,
}

impl BoundControl {
    /// Binds the addresses, so that port 0 becomes a real one before others need to know it.
    pub fn bind(options: ControlOptions) -> Result<Self, ControlError> {
        let peers =
            PeerSockets::bind(options.peer_listen).map_err(|source| ControlError::Listen {
                address: options.peer_listen,
                purpose: "peers",
                source,
            })?;
        Ok(Self {
            options,
            peers,
            peer_tls: None,
            seal: None,
            metrics: PeerMetrics::new(),
        })
    }

    /// Where peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Counters of its peer links.
    pub fn peer_metrics(&self) -> &PeerMetrics {
        &self.metrics
    }

    /// Makes streams between peers use TLS.
    pub fn set_peer_tls(&mut self, tls: PeerTls) {
        self.peer_tls = Some(tls);
    }

    /// Seals datagrams between peers, and drops those without a right seal.
    pub fn set_datagram_seal(&mut self, seal: Arc<ArcSwap<DatagramSeal>>) {
        self.seal = Some(seal);
    }

    /// Replaces the peers to ask first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.options.seeds = seeds;
    }

    /// Starts the control thread.
    pub fn start(self, clock: Clock, logger: &Logger) -> Result<ControlThread, ControlError> {
        let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let (snapshots, snapshot_feed) = watch::channel(Arc::<RoutingSnapshot>::default());
        let (observation_sender, observations) = mpsc::channel(OBSERVATION_QUEUE);
        let (claim_sender, claims) = mpsc::unbounded_channel();
        let (limit_sender, limit_sends) = mpsc::channel(LIMIT_QUEUE);
        let (phases, phase_feed) = watch::channel(NodePhase::Starting);
        let changes = ChangeLog::new();
        let handle = ControlHandle::new(
            command_sender,
            observation_sender,
            limit_sender,
            ControlClaimGate::new(claim_sender),
            snapshot_feed,
            phase_feed,
            changes.clone(),
        );
        let peer_address = self.peer_address();
        let logger = logger.new(o!("node" => self.options.name.to_string()));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| ControlError::Thread { source })?;
        let (datagrams, streams) = self.peers.into_parts();
        let sockets = {
            let _entered = runtime.enter();
            let datagrams = UdpSocket::from_std(datagrams);
            let streams = TcpListener::from_std(streams);
            datagrams.and_then(|datagrams| Ok((datagrams, streams?)))
        };
        let sockets = sockets.map_err(|source| ControlError::Thread { source })?;
        let options = self.options;
        let metrics = self.metrics;
        let tls = self.peer_tls;
        let seal = self.seal;
        let abort = CancellationToken::new();
        let thread_abort = abort.clone();
        let run = move || {
            runtime.block_on(async move {
                let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
                let state = ControlState::new(control_settings(&options, peer_address));
                let peers = PeerContext {
                    hello: PeerHello {
                        protocol: PEER_PROTOCOL_VERSION,
                        name: options.name.clone(),
                        address: peer_address,
                    },
                    input: ControlInput::new(event_sender),
                    metrics,
                    logger: logger.clone(),
                    tls,
                    seal,
                };
                let io = start_io(&options, sockets, &peers);
                let control = ControlLoop {
                    state,
                    clock,
                    logger,
                    io,
                    events,
                    commands,
                    observations,
                    claims,
                    limit_sends,
                    grants: None,
                    operations: PendingOperations::default(),
                    changes,
                    snapshots,
                    phases,
                };
                thread_abort.run_until_cancelled(control.run()).await;
            });
            // Tasks that outlive the loop have nobody left to report to.
            runtime.shutdown_timeout(Duration::ZERO);
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(run)
            .map_err(|source| ControlError::Thread { source })?;
        Ok(ControlThread {
            handle,
            peer_address,
            thread,
            abort,
        })
    }
}

impl ControlThread {
    /// Access to the thread.
    pub fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    /// Where peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Waits until the thread has ended, which it does after a planned stop, or once every handle
    /// is gone. Blocks.
    pub fn join(self) {
        drop(self.handle);
        let _ = self.thread.join();
    }

    /// Ends the thread at once, as a crash would. Blocks.
    pub fn kill(self) {
        self.abort.cancel();
        let _ = self.thread.join();
    }
}

fn control_settings(options: &ControlOptions, address: SocketAddr) -> ControlSettings {
    ControlSettings {
        name: options.name.clone(),
        incarnation: options.incarnation,
        address,
        region: options.region.clone(),
        data_centre: options.data_centre.clone(),
        zone: options.zone.clone(),
        seeds: options.seeds.clone(),
        may_direct: options.may_direct,
        seed: options.seed,
    }
}

fn start_io(
    options: &ControlOptions,
    (datagrams, streams): (UdpSocket, TcpListener),
    peers: &PeerContext,
) -> ControlIo {
    let datagrams = DatagramLink::start(datagrams, peers.clone());
    StreamServer::start(streams, peers.clone());
    let links = StreamLinks::new(peers.clone());
    ControlIo::new(options, &peers.input, datagrams, links, &peers.logger)
}
