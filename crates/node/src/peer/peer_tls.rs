//! TLS between router processes.

use std::sync::Arc;

use crate::tls::{ClientTls, ServerTls};

/// Mutual TLS between router processes.
#[derive(Clone)]
pub struct PeerTls {
    /// Of streams that peers open.
    pub server: Arc<ServerTls>,
    /// Of streams to peers.
    pub client: Arc<ClientTls>,
}
