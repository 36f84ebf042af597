//! Faults over real sockets while a demonstration runs.

mod bad_callers;
mod chaos_log;
mod chaos_run;
mod chaos_script;
mod chaos_step;
mod outage;

pub use bad_callers::BadCallers;
pub use chaos_log::ChaosLog;
pub use chaos_run::ChaosRun;
pub use chaos_script::chaos_script;
pub use chaos_step::{ChaosStep, TimedStep};
pub use outage::{Outage, OutageKind};
