//! The command line of `ryerouter`.

mod arguments;
mod command_error;
mod run;

pub use arguments::{Arguments, CheckArguments, Subcommand};
pub use command_error::CommandError;
pub use run::run;
