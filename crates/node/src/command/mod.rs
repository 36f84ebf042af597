//! The command line of `ryerouter`.

mod arguments;
mod check_arguments;
mod command_error;
mod run;
mod subcommand;

pub use arguments::Arguments;
pub use check_arguments::CheckArguments;
pub use command_error::CommandError;
pub use run::run;
pub use subcommand::Subcommand;
