//! A gateway with scripted engines, over loopback.
#![allow(dead_code, reason = "each test file uses part of it")]

pub mod crashing_engine;
pub mod crashing_nodes;
pub mod engine_proxy;
pub mod fleet;
pub mod followers;
pub mod freezer;
pub mod gateway_bench;
pub mod handing_on;
pub mod linked_nodes;
pub mod log_lines;
pub mod no_orders;
pub mod one_lease;
pub mod ordering_fleet;
pub mod ordering_nodes;
pub mod paged_source;
pub mod partly_reached_engines;
pub mod planned_rollout;
pub mod poison_records;
pub mod records;
pub mod region_fleet;
pub mod release_node;
pub mod release_orders;
pub mod releases;
pub mod scripted_engine;
pub mod scripted_source;
pub mod signalling;
pub mod silencing_server;
pub mod starting_fleet;
pub mod test_dialect;
pub mod unanswered_address;
pub mod versioned_engines;
pub mod versioned_nodes;
pub mod virtual_network;
pub mod virtual_source;
