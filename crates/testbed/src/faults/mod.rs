//! Named fault runs of simulated clusters, judged by the oracle.

mod fault_plan;
mod fault_summary;
mod faults_error;
mod faults_options;
mod named_run;
mod run_faults;

pub use fault_plan::fault_plan;
pub use fault_summary::FaultSummary;
pub use faults_error::FaultsError;
pub use faults_options::FaultsOptions;
pub use named_run::{NAMED_RUNS, NamedRun, UnknownRun};
pub use run_faults::{RunResult, run_faults, run_once};
