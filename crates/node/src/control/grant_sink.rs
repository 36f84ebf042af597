//! Where tickets of tenants' limits go.

use ryerouter_core::identity::NodeName;
use ryerouter_core::limit::LimitGrant;

/// Where tickets of tenants' limits go: the borrower among the traffic threads.
pub trait GrantSink: Send + 'static {
    /// Takes tickets that a bank granted. Must not wait.
    fn granted(&self, from: NodeName, grant: LimitGrant);
}
