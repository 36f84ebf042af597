//! Options of `top`.

use gumdrop::Options;

/// Shows live traffic of the node that answers: redrawn on a terminal, plain lines elsewhere.
#[derive(Debug, Clone, Options)]
pub struct TopArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Time between two pictures.
    #[options(
        meta = "N",
        default = "1000",
        help = "milliseconds between two pictures"
    )]
    pub interval_ms: u64,
    /// Number of pictures.
    #[options(meta = "N", default = "0", help = "stop after N pictures (0: never)")]
    pub count: u64,
}
