//! Which software versions may take a request.

use ryerouter_core::release::SoftwareVersion;

/// Which software versions may take a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum SoftwareConstraint {
    /// All of them.
    #[default]
    Any,
    /// All of them, but first those that every node knows by now: the request begins a stream that another node may
    /// have to continue.
    Settled,
    /// Only this one, which has written events of the stream.
    Only(SoftwareVersion),
}
