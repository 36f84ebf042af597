//! Whole clusters on a virtual clock: the decisions that router processes run, with simulated
//! sockets, back ends, platform, callers and operators around them.
//!
//! Everything random comes from one seed and everything that happens goes into a trace hash, so a
//! run can be repeated exactly. Messages between router processes and values in the object API are
//! encoded and decoded as on the wire.

mod attempt_call;
mod back_end_process;
mod cluster;
mod cluster_back_ends;
mod cluster_callers;
mod cluster_claims;
mod cluster_control;
mod cluster_event;
mod cluster_faults;
mod cluster_layout;
mod cluster_orders;
mod cluster_platform;
mod cluster_settings;
mod cluster_traffic;
mod endpoint;
mod fault;
mod location;
mod mutation;
mod network;
mod network_conditions;
mod network_cut;
mod platform;
mod process_id;
mod router_process;
mod run_counters;
mod simulate;
mod stepped_cluster;
mod store;
mod store_mode;
mod submission;
mod timed_fault;
mod trace_hash;

pub use attempt_call::{AttemptCall, AttemptKind};
pub use back_end_process::BackEndProcess;
pub use cluster::Cluster;
pub use cluster_event::ClusterEvent;
pub use cluster_layout::ClusterLayout;
pub use cluster_settings::ClusterSettings;
pub use endpoint::Endpoint;
pub use fault::Fault;
pub use location::Location;
pub use mutation::{MUTATIONS, Mutation, UnknownMutation};
pub use network::Network;
pub use network_conditions::NetworkConditions;
pub use network_cut::NetworkCut;
pub use platform::Platform;
pub use process_id::ProcessId;
pub use router_process::{RouterProcess, RunningProcess};
pub use run_counters::RunCounters;
pub use simulate::{RunOutcome, simulate};
pub use stepped_cluster::SteppedCluster;
pub use store_mode::StoreMode;
pub use submission::Submission;
pub use timed_fault::TimedFault;
pub use trace_hash::TraceHash;
