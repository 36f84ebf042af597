//! One fault of the settings.

use derive_more::Display;

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{origin}{field} = {value}: {reason}")]
pub struct SettingsFault {
    /// Where it stands: `line 12: `, `flag: `, or empty.
    pub origin: String,
    /// Path of the field.
    pub field: String,
    /// The value it has.
    pub value: String,
    /// Why that is refused, and what is expected.
    pub reason: String,
}
