//! Options of `progress`.

use gumdrop::Options;

/// Shows how far migration stages and changes of weights have come.
#[derive(Debug, Clone, Options)]
pub struct ProgressArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
}
