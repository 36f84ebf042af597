//! The commands.

use gumdrop::Options;

use super::CommandError;
use super::standins_command::StandinsCommand;

/// A command of `ryebench`.
#[derive(Debug, Options)]
pub enum Command {
    /// Starts every stand-in and prints its address.
    #[options(help = "start the stand-ins alone and print their addresses")]
    Standins(StandinsCommand),
}

impl Command {
    /// Runs the command to its end.
    ///
    /// # Errors
    ///
    /// A promise was broken, or the run itself failed.
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Standins(command) => command.run(),
        }
    }
}
