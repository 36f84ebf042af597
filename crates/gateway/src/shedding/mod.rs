//! Load shedding at this node: its shedders, and the load that other nodes report.
//!
//! [`ryerouter_core::admission::shedding`] decides on requests; see docs/design/admission.md.

mod pool_load_update;
mod pool_report;
mod table;
mod waiting_work;

pub use pool_load_update::{ClassUpdate, PoolLoadUpdate};
pub use pool_report::PoolReport;
pub use table::{PoolShedder, Shedders};
pub use waiting_work::WaitingWork;
