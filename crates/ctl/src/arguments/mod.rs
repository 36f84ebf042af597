//! The command line.

mod command;
mod global_arguments;
mod help;
mod hoist;
mod stage_arguments;
mod write_arguments;

pub use command::{
    ApplyArguments, Command, CompletionsArguments, DeleteArguments, DiffArguments, DrainArguments,
    ExplainArguments, GetArguments, KeyArguments, ListArguments, ProgressArguments,
    ReloadArguments, StatusArguments, TopArguments, WatchArguments,
};
pub use global_arguments::GlobalArguments;
pub use help::{command_help, global_help, option_names};
pub use hoist::hoist_global_options;
pub use stage_arguments::{
    StageArguments, StageCommand, StageNameArguments, StageSetArguments, StageStartArguments,
};
pub use write_arguments::WriteArguments;
