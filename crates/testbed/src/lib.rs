//! Everything that tries the router out: stand-ins for engines and platform, load, experiments,
//! fault runs, simulated nodes and reports.

pub mod cli;
pub mod cluster;
pub mod compare;
pub mod demo;
pub mod engine_model;
pub mod faults;
pub mod limits;
pub mod oracle;
pub mod overhead;
pub mod scenario;
pub mod simulation;
pub mod standins;
pub mod up;
pub mod workload;
