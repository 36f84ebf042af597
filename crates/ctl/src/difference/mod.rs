//! Differences between the configuration in force and the one asked for.

mod change_action;
mod field_difference;
mod known_resource;
mod plan;
mod resource_difference;

pub use change_action::ChangeAction;
pub use field_difference::FieldDifference;
pub use known_resource::KnownResource;
pub use plan::Plan;
pub use resource_difference::ResourceDifference;
