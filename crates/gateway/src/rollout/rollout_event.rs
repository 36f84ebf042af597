//! What happens to a rollout.

use ryerouter_core::control::StoreAnswer;
use ryerouter_core::identity::{BackEndName, Incarnation};

use super::{EngineReport, OrderOutcome};

/// What happens to a rollout.
#[derive(Debug)]
pub(super) enum RolloutEvent {
    /// The store of leases answered.
    StoreAnswered(StoreAnswer),
    /// An engine answered an order, which was given in this of its lives.
    Ordered(BackEndName, Option<Incarnation>, OrderOutcome),
    /// An engine reported, or did not; it was asked in this of its lives.
    Reported(BackEndName, Option<Incarnation>, Option<EngineReport>),
}
