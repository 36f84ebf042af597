//! Flags of `ryerouter check`.

use gumdrop::Options;

/// Flags of `ryerouter check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(free, help = "settings file (TOML)")]
    pub(super) file: Option<String>,
}
