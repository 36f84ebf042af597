//! Options of `apply`.

use gumdrop::Options;

use super::WriteArguments;

/// Makes tenants, pools, back ends and stages match FILE. All writes take effect at one version of the
/// configuration, or none does. A state that the file leaves out stays as it is.
#[derive(Debug, Clone, Options)]
pub struct ApplyArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "TOML file of tenants, pools, back_ends and stages"
    )]
    pub file: String,
    /// Delete what the file lacks.
    #[options(no_short, help = "also delete what the file lacks")]
    pub prune: bool,
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

impl ApplyArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}
