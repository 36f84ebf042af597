//! Permits of one engine that this node issues.

use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::Incarnation;
use ryerouter_core::permit::Issuer;

/// Permits of one engine that this node issues.
#[derive(Debug)]
pub struct Issued {
    /// Incarnation of the engine.
    pub incarnation: Option<Incarnation>,
    /// Who holds them, by the address of the node.
    pub issuer: Issuer<SocketAddr>,
    /// When this node last found itself to be the issuer.
    pub confirmed_at: Timestamp,
}
