//! Accepted configuration: a log of changes in the object API, validated before it is written,
//! spread to all nodes by gossip.

mod change;
mod change_accepted;
mod change_refusal;
mod config_message;
mod expectation;
mod log_entry;
mod mutation;
mod resource;
mod resource_reference;
mod validation_error;

pub use change::Change;
pub use change_accepted::ChangeAccepted;
pub use change_refusal::ChangeRefusal;
pub use config_message::ConfigMessage;
pub use expectation::Expectation;
pub use log_entry::LogEntry;
pub use mutation::Mutation;
pub use resource::Resource;
pub use resource_reference::ResourceReference;
pub use validation_error::ValidationError;
