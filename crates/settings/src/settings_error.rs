//! Why settings are refused.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

use super::SettingsFault;

/// Why settings are refused.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("settings file {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings have faults; all are listed.
    #[display("{} faults in the settings\n{}", faults.len(), lines(faults))]
    Invalid {
        /// The faults, those of the file in its order.
        faults: Vec<SettingsFault>,
    },
}

fn lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
