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
    #[options(no_short, meta = "N", default = "30", help = "give up after N seconds")]
    pub timeout_seconds: u64,
    /// Author of changes.
    #[options(no_short, meta = "NAME", help = "who makes the change (USER)")]
    pub author: Option<String>,
    /// Authority of the nodes' certificates.
    #[options(
        no_short,
        meta = "FILE",
        help = "use TLS; authority of the nodes' certificates"
    )]
    pub tls_authority: Option<String>,
    /// Own certificate.
    #[options(no_short, meta = "FILE", help = "own certificate chain (PEM)")]
    pub tls_certificate: Option<String>,
    /// Own key.
    #[options(no_short, meta = "FILE", help = "own private key (PEM)")]
    pub tls_key: Option<String>,
    /// Name in the nodes' certificates.
    #[options(
        no_short,
        meta = "NAME",
        help = "name in the nodes' certificates (their address)"
    )]
    pub tls_name: Option<String>,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}
