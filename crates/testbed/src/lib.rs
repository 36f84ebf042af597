//! Stand-ins, load, experiments, fault runs, simulated nodes and reports.

pub mod oracle;
