//! Settings of the traffic side.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ryerouter_core::identity::{DataCentreName, NodeName, ZoneName};

use crate::tls::ServerTls;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Settings of the traffic side of one router process.
#[derive(derive_more::Debug, Clone)]
pub struct TrafficSettings {
    /// Where callers connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// TLS of the callers' port; plain text without it.
    #[debug(skip)]
    pub tls: Option<Arc<ServerTls>>,
    /// Name of the process.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// Traffic threads.
    pub threads: usize,
    /// Seed of the dispatcher's choices and attempt numbers; must differ between processes and
    /// between starts of one process.
    pub seed: u64,
    /// Most caller connections at once; further ones are closed unanswered.
    pub max_connections: usize,
    /// Most requests at once; further ones are refused.
    pub max_active_requests: usize,
    /// Most bytes of one request body.
    pub max_body_bytes: usize,
    /// Most bytes of all request bodies held at once.
    pub max_held_body_bytes: usize,
    /// Most bytes of one server-sent event of a back end.
    pub max_event_bytes: usize,
    /// Most bytes of an answer that is held back until it is whole; a larger one is passed on as
    /// it arrives.
    pub answer_buffer_bytes: usize,
    /// Most bytes buffered for one connection in each direction; also bounds header sections.
    pub connection_buffer_bytes: usize,
    /// Longest wait for a request's header section, and for the next request on a connection.
    pub header_read_timeout: Duration,
    /// Longest wait for a request's whole body.
    pub body_read_timeout: Duration,
    /// Longest time a caller may leave written bytes untaken.
    pub caller_stall_timeout: Duration,
    /// Longest wait for a connection to a back end.
    pub connect_timeout: Duration,
    /// Longest wait for the head of a back end's answer.
    pub answer_head_timeout: Duration,
    /// Longest silence within a back end's answer.
    pub engine_idle_timeout: Duration,
    /// Longest time an unused connection to a back end is kept.
    pub idle_connection_timeout: Duration,
    /// Most unused connections kept to one back end by one traffic thread.
    pub idle_connections_per_back_end: usize,
    /// Longest wait for caller connections to end after the last request of a planned stop.
    pub stop_connections_timeout: Duration,
    /// When callers that are refused because of a planned stop may come back.
    pub stop_retry_after: Duration,
    /// Ended requests kept for explanation.
    pub trace_capacity: usize,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            tls: None,
            node: NodeName::new("node"),
            data_centre: DataCentreName::new("default"),
            zone: ZoneName::new("default"),
            threads: 2,
            seed: rand::random(),
            max_connections: 16_384,
            max_active_requests: 8_192,
            max_body_bytes: 8 * MIB,
            max_held_body_bytes: 256 * MIB,
            max_event_bytes: 256 * KIB,
            answer_buffer_bytes: MIB,
            connection_buffer_bytes: 64 * KIB,
            header_read_timeout: Duration::from_secs(60),
            body_read_timeout: Duration::from_secs(30),
            caller_stall_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            answer_head_timeout: Duration::from_secs(300),
            engine_idle_timeout: Duration::from_secs(30),
            idle_connection_timeout: Duration::from_secs(30),
            idle_connections_per_back_end: 64,
            stop_connections_timeout: Duration::from_secs(5),
            stop_retry_after: Duration::from_secs(1),
            trace_capacity: 1_024,
        }
    }
}
