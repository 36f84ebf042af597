//! Options of `list`.

use gumdrop::Options;

/// Lists the resources of a kind.
#[derive(Debug, Clone, Options)]
pub struct ListArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resources.
    #[options(free, required, help = "tenants, pools, back-ends or stages")]
    pub kind: String,
}
