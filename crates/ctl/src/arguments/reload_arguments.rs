//! Options of `reload`.

use gumdrop::Options;

/// Has the node read its settings file and TLS files again; tells what is in force and what waits for a
/// restart.
#[derive(Debug, Clone, Options)]
pub struct ReloadArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
}
