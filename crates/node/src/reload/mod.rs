//! Reading settings and keys again without a restart.

mod loaded;
mod reload_error;
mod reload_report;
mod reloader;

pub use loaded::Loaded;
pub use reload_error::ReloadError;
pub use reload_report::ReloadReport;
pub use reloader::{NothingToReload, Reloader};
