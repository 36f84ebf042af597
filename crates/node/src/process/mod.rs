//! The whole router process: control thread, traffic threads and operator RPC, started and stopped
//! as one.

mod bound_node;
mod key_set;
mod node_process;
mod process_error;
mod settings_conversion;
mod settings_reloader;
mod settings_source;
mod stop_report;

pub use bound_node::BoundNode;
pub use node_process::NodeProcess;
pub use process_error::ProcessError;
pub use settings_reloader::check_files;
pub use settings_source::SettingsSource;
pub use stop_report::StopReport;

use key_set::KeySet;
use settings_reloader::SettingsReloader;
