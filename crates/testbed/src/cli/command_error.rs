//! Why a command ended badly.

use std::io;

use derive_more::{Display, Error, From};

/// Why a command ended badly.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A socket, file or thread could not be had.
    #[display("input or output failed: {_0}")]
    Io(io::Error),
    /// The run ended and a promise was broken.
    #[display("broken promise: {_0}")]
    #[from(skip)]
    BrokenPromise(#[error(not(source))] String),
    /// An option has a value that cannot be used.
    #[display("option --{option}: {value:?} {reason}")]
    #[from(skip)]
    BadOption {
        /// Name of the option.
        option: &'static str,
        /// The value given.
        value: String,
        /// Why it cannot be used.
        reason: String,
    },
    /// The run itself failed.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
}
