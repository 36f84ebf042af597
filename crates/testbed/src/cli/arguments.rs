//! Everything on the command line.

use gumdrop::Options;

use super::Command;

/// Everything on the command line.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether the version was asked for.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}
