//! The control side of a node with its addresses bound but nothing running yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use ryerouter_core::control::{ControlSettings, ControlState};
use ryerouter_wire::peer::{DatagramSeal, PEER_PROTOCOL_VERSION, PeerHello};
use slog::{Logger, error, o};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::peer::{
    DatagramLink, PeerContext, PeerMetrics, PeerSockets, PeerTls, StreamLinks, StreamServer,
};

use super::ControlThread;
use super::{
    ControlError, ControlInput, ControlIo, ControlLoop, ControlOptions, ControlQueues,
    PendingOperations,
};

/// Events that may wait for the control thread.
const EVENT_QUEUE: usize = 4_096;

/// The control side of a node with its addresses bound but nothing running yet.
pub struct BoundControl {
    options: ControlOptions,
    peers: PeerSockets,
    peer_tls: Option<PeerTls>,
    seal: Option<Arc<ArcSwap<DatagramSeal>>>,
    metrics: PeerMetrics,
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
        let (queues, handle) = ControlQueues::new();
        let peer_address = self.peer_address();
        let logger = logger.new(o!("node" => self.options.name.to_string()));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| ControlError::Thread { source })?;
        let abort = CancellationToken::new();
        let thread_abort = abort.clone();
        let run = move || {
            let control = async {
                match self.new_loop(queues, clock, logger.clone()) {
                    Ok(control) => control.run().await,
                    Err(cause) => error!(logger, "control_not_started"; "cause" => %cause),
                }
            };
            runtime.block_on(thread_abort.run_until_cancelled(control));
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

    /// The loop with its links; must be called within the runtime of the control thread.
    fn new_loop(
        self,
        queues: ControlQueues,
        clock: Clock,
        logger: Logger,
    ) -> std::io::Result<ControlLoop> {
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
        let address = self.peer_address();
        let state = ControlState::new(control_settings(&self.options, address));
        let peers = PeerContext {
            hello: PeerHello {
                protocol: PEER_PROTOCOL_VERSION,
                name: self.options.name.clone(),
                address,
            },
            input: ControlInput::new(event_sender),
            metrics: self.metrics,
            logger: logger.clone(),
            tls: self.peer_tls,
            seal: self.seal,
        };
        let (datagrams, streams) = self.peers.into_parts();
        let datagrams = DatagramLink::start(UdpSocket::from_std(datagrams)?, peers.clone());
        StreamServer::start(TcpListener::from_std(streams)?, peers.clone());
        let links = StreamLinks::new(peers.clone());
        let io = ControlIo::new(&self.options, &peers.input, datagrams, links, &logger);
        Ok(ControlLoop {
            state,
            clock,
            logger,
            io,
            events,
            queues,
            grants: None,
            operations: PendingOperations::default(),
        })
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
