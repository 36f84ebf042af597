//! What the links of one process share.

use ryerouter_wire::peer::PeerHello;
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
}
