//! Comparison of ways to hold a tenant's limit over many nodes: a static split, a central count,
//! the tickets from a few banks that the router of the own interface uses, and the shared rates that
//! gateways use.

mod central_count;
mod load_pattern;
mod moved_tickets;
mod run;
mod run_report;
mod scheme;
mod shared_rates;
mod static_split;

pub use load_pattern::LoadPattern;
pub use run::{LimitsOptions, run};
pub use run_report::RunReport;
pub use scheme::{Scheme, Verdict};
