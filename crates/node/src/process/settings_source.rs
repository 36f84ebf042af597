//! Where settings come from.

use std::path::PathBuf;

use ryerouter_settings::{NodeSettings, SettingOverride, SettingsError};

/// Where settings come from, so that they can be read again.
#[derive(Debug, Clone)]
pub struct SettingsSource {
    /// The file.
    pub path: PathBuf,
    /// Flags, which win over the file.
    pub overrides: Vec<SettingOverride>,
}

impl SettingsSource {
    /// Reads and checks the settings.
    pub fn load(&self) -> Result<NodeSettings, SettingsError> {
        ryerouter_settings::load(&self.path, &self.overrides)
    }
}
