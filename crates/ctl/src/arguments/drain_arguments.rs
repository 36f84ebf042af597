//! Options of `drain`.

use gumdrop::Options;

use super::WriteArguments;

/// Stops new work to a back end; work under way goes on.
#[derive(Debug, Clone, Options)]
pub struct DrainArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The back end.
    #[options(free, required, help = "name of the back end")]
    pub back_end: String,
    /// Take new work again.
    #[options(no_short, help = "let the back end take new work again")]
    pub undo: bool,
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

impl DrainArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}
