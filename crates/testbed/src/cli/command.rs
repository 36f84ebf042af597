//! The commands.

use gumdrop::Options;

use super::CommandError;
use super::compare_command::CompareCommand;
use super::demo_command::DemoCommand;
use super::faults_command::FaultsCommand;
use super::limits_command::LimitsCommand;
use super::overhead_command::OverheadCommand;
use super::standins_command::StandinsCommand;
use super::up_command::UpCommand;

/// A command of `ryebench`.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs a deployment over real sockets and checks every answer.
    #[options(help = "serve a scenario's requests over real sockets and check every answer")]
    Demo(DemoCommand),
    /// Compares dispatch policies on a virtual clock.
    #[options(help = "compare dispatch policies on a virtual clock")]
    Compare(CompareCommand),
    /// Runs clusters on a virtual clock through named faults.
    #[options(help = "run simulated clusters through faults and check every promise")]
    Faults(FaultsCommand),
    /// Compares ways to hold tenants' limits.
    #[options(help = "compare ways to hold tenants' limits over many nodes")]
    Limits(LimitsCommand),
    /// Measures what one node adds.
    #[options(help = "measure what one node adds against back ends asked directly")]
    Overhead(OverheadCommand),
    /// Starts every stand-in and prints its address.
    #[options(help = "start the stand-ins alone and print their addresses")]
    Standins(StandinsCommand),
    /// Keeps a deployment running.
    #[options(help = "keep a deployment running and print how to use it")]
    Up(UpCommand),
}

impl Command {
    /// Runs the command to its end.
    ///
    /// # Errors
    ///
    /// A promise was broken, or the run itself failed.
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Demo(command) => command.run(),
            Self::Compare(command) => command.run(),
            Self::Faults(command) => command.run(),
            Self::Limits(command) => command.run(),
            Self::Overhead(command) => command.run(),
            Self::Standins(command) => command.run(),
            Self::Up(command) => command.run(),
        }
    }
}
