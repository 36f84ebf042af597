//! What the links of one process share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ryerouter_wire::peer::{DatagramSeal, PeerHello};
use slog::Logger;

use crate::control::ControlInput;

use super::{PeerMetrics, PeerTls};

/// What the links of one process share.
#[derive(Clone)]
pub(crate) struct PeerContext {
    /// First line of the streams this process opens.
    pub(crate) hello: PeerHello,
    /// Where messages go.
    pub(crate) input: ControlInput,
    /// Counters.
    pub(crate) metrics: PeerMetrics,
    /// Where links are logged.
    pub(crate) logger: Logger,
    /// TLS of streams; `None` for plain text.
    pub(crate) tls: Option<PeerTls>,
    /// Seal of datagrams; `None` for unsealed ones. Replaced when keys are read again.
    pub(crate) seal: Option<Arc<ArcSwap<DatagramSeal>>>,
}
