//! Which software versions may take a request.

use ryerouter_core::release::SoftwareVersion;

/// Which software versions may take a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum SoftwareConstraint {
    /// All of them.
    #[default]
    Any,
    /// Those that every node knows by now and that the store holds, while one of them is admitted and in service: the request begins a stream
    /// that another node may have to continue, also after a restart of all nodes.
    Settled,
    /// Only this one, which has written events of the stream.
    Only(SoftwareVersion),
}
