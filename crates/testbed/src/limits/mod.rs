//! Comparison of ways to hold a tenant's limit over many nodes: a static split, a central count,
//! and the tickets from a few banks that the router uses.

mod central_count;
mod load_pattern;
mod moved_tickets;
mod run;
mod run_report;
mod scheme;
mod static_split;

pub use load_pattern::LoadPattern;
pub use run::{LimitsOptions, run};
pub use run_report::RunReport;
pub use scheme::{Scheme, Verdict};
