//! A small model of what callers, operators and back ends may see.
//!
//! The [`Oracle`] reads [`Observation`]s in the order of their time and reports a [`Violation`] for
//! each broken promise. It shares no code with `ryerouter_core`: it knows nothing of placement,
//! gossip, claims or retries, only of what may be seen from outside. Each promise is one file in
//! `promises/`.

mod observation;
mod oracle_limits;
mod oracle_state;
mod promise;
mod promises;
mod violation;

pub use observation::{Observation, ReportedRunState};
pub use oracle_limits::OracleLimits;
pub use oracle_state::Oracle;
pub use promise::Promise;
pub use violation::Violation;
