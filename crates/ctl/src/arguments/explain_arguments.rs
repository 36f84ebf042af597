//! Options of `explain`.

use gumdrop::Options;

/// Shows why a request went where it went, as long as the node that served it remembers it.
#[derive(Debug, Clone, Options)]
pub struct ExplainArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The request.
    #[options(
        free,
        required,
        help = "request id, as in x-request-id and in the logs"
    )]
    pub request_id: String,
}
