//! Options of `stage pause`, `stage resume` and `stage rollback`.

use gumdrop::Options;

use super::WriteArguments;

/// Changes the state of a stage.
#[derive(Debug, Clone, Options)]
pub struct StageNameArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Name of the stage.
    #[options(free, required, help = "name of the stage")]
    pub name: String,
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

impl StageNameArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}
