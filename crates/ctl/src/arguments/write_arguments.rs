//! Options of commands that write.

/// Options of commands that write.
#[derive(Debug, Clone, Default)]
pub struct WriteArguments {
    /// Identifies the change.
    pub change_id: Option<String>,
    /// Only check.
    pub dry_run: bool,
    /// Wait until the change is in force everywhere.
    pub wait: bool,
}
