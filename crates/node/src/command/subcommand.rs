//! What to do instead of running.

use gumdrop::Options;

use super::CheckArguments;

/// What to do instead of running.
#[derive(Debug, Options)]
pub enum Subcommand {
    /// Check a settings file.
    #[options(help = "check a settings file and the files it names, then exit")]
    Check(CheckArguments),
}
