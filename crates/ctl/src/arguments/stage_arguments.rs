//! Options of `stage`.

use gumdrop::Options;

use super::StageCommand;

/// Moves a share of traffic between two data centres.
#[derive(Debug, Clone, Options)]
pub struct StageArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// What to do with it.
    #[options(command)]
    pub command: Option<StageCommand>,
}
