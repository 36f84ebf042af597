//! Override of a field.

/// A value that takes the place of the file's, from a flag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingOverride {
    /// Path of the field.
    pub path: String,
    /// The value; a list has commas between its items.
    pub value: String,
}

impl SettingOverride {
    /// Reads `PATH=VALUE`.
    pub fn parse(text: &str) -> Option<Self> {
        let (path, value) = text.split_once('=')?;
        Some(Self::new(path.trim(), value.trim()))
    }

    /// Overrides the field at `path`.
    pub fn new(path: &str, value: &str) -> Self {
        Self {
            path: path.to_owned(),
            value: value.to_owned(),
        }
    }
}
