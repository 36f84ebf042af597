//! Options of `watch`.

use gumdrop::Options;

/// Prints accepted changes as they come.
#[derive(Debug, Clone, Options)]
pub struct WatchArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// First version of interest.
    #[options(meta = "N", help = "print changes after version N (from now on)")]
    pub after: Option<u64>,
    /// Number of changes.
    #[options(meta = "N", default = "0", help = "stop after N changes (0: never)")]
    pub count: u64,
}
