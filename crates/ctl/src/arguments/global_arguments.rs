//! Options of every command.

use gumdrop::Options;

use super::Command;

/// Operates ryerouter over the operator RPC of its nodes.
#[derive(Debug, Clone, Options)]
pub struct GlobalArguments {
    /// Print this text.
    #[options(help = "print help, also of a command: ryectl COMMAND --help")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Nodes to call.
    #[options(
        meta = "IP:PORT[,IP:PORT]",
        help = "RPC address of a node; of several the first that answers (RYECTL_SERVER, else 127.0.0.1:8081)"
    )]
    pub server: Option<String>,
    /// Print JSON.
    #[options(help = "print JSON instead of a table")]
    pub json: bool,
    /// Time limit of the whole command.
    #[options(
        no_short,
        meta = "N",
        default = "30",
        help = "give up after N seconds; watch and top go on"
    )]
    pub timeout_seconds: u64,
    /// Author of changes.
    #[options(no_short, meta = "NAME", help = "who makes the change (USER)")]
    pub author: Option<String>,
    /// Operator's key.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the operator's key (RYECTL_KEY_FILE)"
    )]
    pub key_file: Option<String>,
    /// Authority of the nodes' certificates.
    #[options(
        no_short,
        meta = "FILE",
        help = "use TLS; authority of the nodes' certificates (PEM)"
    )]
    pub authority_file: Option<String>,
    /// Own certificate.
    #[options(no_short, meta = "FILE", help = "own certificate chain for TLS (PEM)")]
    pub certificate_file: Option<String>,
    /// Own private key.
    #[options(
        no_short,
        meta = "FILE",
        help = "private key of that certificate (PEM)"
    )]
    pub private_key_file: Option<String>,
    /// Name in the nodes' certificates.
    #[options(
        no_short,
        meta = "NAME",
        default = "ryerouter",
        help = "name in the nodes' certificates"
    )]
    pub server_name: String,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}
