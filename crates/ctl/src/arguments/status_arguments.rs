//! Options of `status`.

use gumdrop::Options;

/// Shows the nodes and the configuration in force on each.
#[derive(Debug, Clone, Options)]
pub struct StatusArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Wait.
    #[options(
        no_short,
        help = "wait until the version is in force on every live node"
    )]
    pub wait: bool,
    /// Version to wait for.
    #[options(no_short, meta = "N", help = "version to wait for (the newest)")]
    pub config_version: Option<u64>,
}
