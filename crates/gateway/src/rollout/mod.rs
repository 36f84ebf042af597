//! Bringing engines to the weights that were named.

mod behind_reason;
mod engine_orders;
mod given_order;
mod given_orders;
mod open_order;
mod order_handover;
mod order_outcome;
mod pace;
mod reach;
mod reach_survey;
mod rollout_action;
mod rollout_driver;
mod rollout_event;
mod rollout_monitor;
mod rollout_planner;
mod rollout_settings;
mod rollout_standing;
mod stale_work;
mod stall;
mod unreached_engines;
mod weights_deadlines;
mod weights_order;

pub use behind_reason::BehindReason;
pub use engine_orders::EngineOrders;
pub use order_outcome::{EngineReport, OrderOutcome};
pub use rollout_action::RolloutAction;
pub use rollout_driver::run_rollouts;
pub use rollout_planner::RolloutPlanner;
pub use rollout_settings::RolloutSettings;
pub use rollout_standing::RolloutStanding;
pub use weights_deadlines::{PublicationTime, WeightsDeadlines};
pub use weights_order::WeightsOrder;
