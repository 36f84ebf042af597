//! What reading settings and keys again has changed.

/// What reading settings and keys again has changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReloadReport {
    /// Settings that changed and are in force.
    pub changed: Vec<String>,
    /// Settings that changed in the file and need a restart.
    pub restart_needed: Vec<String>,
}
