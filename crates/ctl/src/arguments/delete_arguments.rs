//! Options of `delete`.

use gumdrop::Options;

use super::WriteArguments;

/// Deletes a resource that nothing refers to.
#[derive(Debug, Clone, Options)]
pub struct DeleteArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resource.
    #[options(free, required, help = "tenant, pool, back-end or stage")]
    pub kind: String,
    /// Name of the resource.
    #[options(free, required, help = "name of the resource")]
    pub name: String,
    /// Version that must be in force.
    #[options(
        no_short,
        meta = "N",
        help = "version that must be in force (the newest)"
    )]
    pub expected_version: Option<u64>,
    /// Identifies the change.
    #[options(
        no_short,
        meta = "ID",
        help = "change id, to settle a lost answer (a fresh one)"
    )]
    pub change_id: Option<String>,
    /// Only check.
    #[options(no_short, help = "check the change without making it")]
    pub dry_run: bool,
    /// Wait.
    #[options(no_short, help = "wait until the change is in force on every node")]
    pub wait: bool,
}

impl DeleteArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}
