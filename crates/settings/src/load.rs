//! Reading settings.

use std::path::Path;

use super::checked_values::CheckedValues;
use super::{NodeSettings, SettingOverride, SettingsError, document};

/// Reads and checks a settings file. Overrides take the place of the file's values.
pub fn load(path: &Path, overrides: &[SettingOverride]) -> Result<NodeSettings, SettingsError> {
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text, overrides),
        Err(source) => Err(SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Checks settings given as TOML. Overrides take the place of the text's values.
pub fn parse(text: &str, overrides: &[SettingOverride]) -> Result<NodeSettings, SettingsError> {
    let (entries, faults) = document::read(text);
    NodeSettings::build(CheckedValues::check(&entries, overrides, faults))
}
