//! What happens to a rollout.

use ryerouter_core::control::StoreAnswer;
use ryerouter_core::identity::BackEndName;

use super::{EngineReport, OrderOutcome};

/// What happens to a rollout.
#[derive(Debug)]
pub(super) enum RolloutEvent {
    /// The store of leases answered.
    StoreAnswered(StoreAnswer),
    /// An engine answered an order.
    Ordered(BackEndName, OrderOutcome),
    /// An engine reported, or did not.
    Reported(BackEndName, Option<EngineReport>),
}
