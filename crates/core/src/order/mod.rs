//! Orders to engines: weights, adapters and roles, given by one process at a time.
//!
//! [`LeaseHolder`] holds a lease in the object API; every order carries its fencing number, and an
//! engine refuses older ones. [`OrderDirector`] runs on the holder and brings engines to what the
//! configuration says. `docs/design/orders.md` gives the reasons.

mod candidates;
mod director_action;
mod director_event;
mod director_settings;
mod engine_control;
mod engine_order;
mod engine_report;
mod engine_role;
mod fenced_order;
mod held_lease;
mod lease_action;
mod lease_event;
mod lease_holder;
mod lease_record;
mod lease_settings;
mod order_answer;
mod order_director;
mod rollout_plan;

pub use candidates::is_candidate;
pub use director_action::DirectorAction;
pub use director_event::DirectorEvent;
pub use director_settings::DirectorSettings;
pub use engine_order::EngineOrder;
pub use engine_report::EngineReport;
pub use engine_role::EngineRole;
pub use fenced_order::FencedOrder;
pub use held_lease::HeldLease;
pub use lease_action::LeaseAction;
pub use lease_event::LeaseEvent;
pub use lease_holder::LeaseHolder;
pub use lease_record::LeaseRecord;
pub use lease_settings::LeaseSettings;
pub use order_answer::OrderAnswer;
pub use order_director::OrderDirector;
