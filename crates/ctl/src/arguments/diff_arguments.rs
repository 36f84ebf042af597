//! Options of `diff`.

use gumdrop::Options;

/// Shows what `apply` would change; exit code 1 when there is something.
#[derive(Debug, Clone, Options)]
pub struct DiffArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "TOML file of tenants, pools, back_ends and stages"
    )]
    pub file: String,
    /// Delete what the file lacks.
    #[options(no_short, help = "also delete what the file lacks")]
    pub prune: bool,
}
