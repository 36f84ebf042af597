//! Description of a field.

use super::{FieldDefault, FieldKind};

/// Description of one field of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field {
    /// Its path in the file, such as `limits.body_bytes`.
    pub path: &'static str,
    /// Which values it takes.
    pub kind: FieldKind,
    /// Its value when the file does not give it.
    pub default: FieldDefault,
    /// Whether a reload puts a new value in force; otherwise a restart does.
    pub reloadable: bool,
    /// What it does, in one sentence.
    pub purpose: &'static str,
}
