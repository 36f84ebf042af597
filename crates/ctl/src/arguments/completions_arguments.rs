//! Options of `completions`.

use gumdrop::Options;

/// Prints completions for a shell.
#[derive(Debug, Clone, Options)]
pub struct CompletionsArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The shell.
    #[options(free, required, help = "bash, zsh or fish")]
    pub shell: String,
}
