//! What one router node adds: the same load straight to back ends and through a node, in one run.

mod load_result;
mod overhead_error;
mod overhead_node;
mod overhead_options;
mod overhead_report;
mod overhead_run;
mod paced_engine;
mod process_memory;
mod stream_client;
mod stream_load;
mod thread_cpu;

pub use overhead_error::OverheadError;
pub use overhead_options::OverheadOptions;
pub use overhead_report::OverheadReport;
pub use overhead_run::run_overhead;
