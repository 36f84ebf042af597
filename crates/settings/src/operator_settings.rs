//! Operators.

use std::path::PathBuf;

/// Operators.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OperatorSettings {
    /// File of their keys; without it any operator that connects may do everything.
    pub keys_file: Option<PathBuf>,
}
