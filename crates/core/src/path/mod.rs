//! Paths from a node to engines: direct ones, and tunnels through other nodes.
//!
//! A node may lose its links to engines while other nodes keep theirs. Which way a new connection is opened is decided
//! here from what earlier attempts showed; `docs/design/tunnels.md` explains the rules.

mod connect_plan;
mod path_change;
mod path_table;
mod tunnel_losses;
mod tunnel_peer;
mod tunnel_peers;

pub use connect_plan::ConnectPlan;
pub use path_change::PathChange;
pub use path_table::{PROBE_INTERVAL, PathTable};
pub use tunnel_peer::{PeerDistance, TunnelPeer};
pub use tunnel_peers::TunnelPeers;
