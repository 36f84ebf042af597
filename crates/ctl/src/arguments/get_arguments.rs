//! Options of `get`.

use gumdrop::Options;

/// Shows one resource.
#[derive(Debug, Clone, Options)]
pub struct GetArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resource.
    #[options(free, required, help = "tenant, pool, back-end or stage")]
    pub kind: String,
    /// Name of the resource.
    #[options(free, required, help = "name of the resource")]
    pub name: String,
}
