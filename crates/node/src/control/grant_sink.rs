//! Where tickets of tenants' limits go.

use ryerouter_core::identity::{NodeName, StageName};
use ryerouter_core::limit::LimitGrant;
use ryerouter_core::migration::StageMeasurement;

/// Where tickets of tenants' limits go: the borrower among the traffic threads.
pub trait GrantSink: Send + 'static {
    /// Takes tickets that a bank granted. Must not wait.
    fn granted(&self, from: NodeName, grant: LimitGrant);

    /// Takes what traffic measured of a migration stage since the last time. Must not wait.
    fn take_measurement(&self, stage: &StageName) -> Option<StageMeasurement>;
}
