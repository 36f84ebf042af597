//! A whole deployment in one process: router nodes with real control threads and operator RPC, and
//! every stand-in, over loopback sockets.

mod cluster_error;
mod cluster_options;
mod configuration;
mod deployment;
mod router;
mod router_addresses;
mod router_options;
mod router_place;
mod stand_in_set;
mod tenant_key;

pub use cluster_error::ClusterError;
pub use cluster_options::ClusterOptions;
pub use deployment::Cluster;
pub use router::{BoundRouter, Router};
pub use router_addresses::{ReservedAddresses, RouterAddresses};
pub use router_options::RouterOptions;
pub use router_place::RouterPlace;
pub use stand_in_set::{FIRST_WEIGHTS, Placed, StandInSet};
pub use tenant_key::tenant_key;
