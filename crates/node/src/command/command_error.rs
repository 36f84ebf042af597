//! Errors of the command.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use ryerouter_settings::SettingsError;

use crate::process::ProcessError;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Why the command ended badly.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The flags make no sense.
    #[display("{detail}; see ryerouter --help")]
    #[from(skip)]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// The settings are refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The process could not start.
    #[display("{_0}")]
    Process(ProcessError),
    /// The runtime or the signals cannot be had.
    #[display("cannot start: {_0}")]
    Start(std::io::Error),
    /// The control thread ended by itself.
    #[display("the control thread ended; requests in progress were finished")]
    #[from(skip)]
    ControlLost,
}

impl CommandError {
    /// Exit code: 2 for flags and settings that must be changed, 1 for all else.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage { .. } | Self::Settings(_) => ExitCode::from(EXIT_USAGE),
            Self::Process(_) | Self::Start(_) | Self::ControlLost => ExitCode::from(EXIT_FAILED),
        }
    }
}
