//! Comparison of dispatch policies on a virtual clock.
//!
//! [`compare`] runs one scenario under each [`Policy`] with identical arrivals: the router's own
//! dispatcher, four plain policies and an omniscient one that sees every cache and queue at once.
//! `docs/design/comparison.md` states the model, the definitions and the results.

mod ablation;
mod ablation_table;
mod attempt_state;
mod cluster_engines;
mod cluster_event;
mod cluster_nodes;
mod cluster_placement;
mod cluster_router;
mod cluster_schedule;
mod cluster_services;
mod comparison;
mod comparison_summary;
mod comparison_table;
mod consistent_hash;
mod deployment;
mod direct_request;
mod direct_router;
mod dispatcher_router;
mod engine_choice;
mod hash_ring;
mod least_loaded;
mod measurements;
mod omniscient;
mod open_request;
mod placement_miss;
mod planned_attempts;
mod policy;
mod policy_report;
mod round_robin;
mod session_hash;
mod simulated_cluster;
mod simulated_engine;
mod simulated_service;
mod spread;
mod waste_ledger;

#[cfg(test)]
mod compare_tests;
#[cfg(test)]
mod waste_ledger_tests;

pub use ablation::{AblationLine, vary};
pub use ablation_table::{print_ablation, print_ratios};
pub use comparison::{Comparison, ComparisonOptions, compare, run_policy};
pub use comparison_summary::ComparisonSummary;
pub use comparison_table::print_table;
pub use policy::Policy;
pub use policy_report::PolicyReport;
pub use spread::Spread;
