//! Stand-in for the platform's object API.

mod change;
mod faults;
mod handler;
mod object;
mod object_api;
mod object_store;
mod watch_stream;
mod write_condition;
mod write_conflict;

pub use change::Change;
pub use faults::ObjectApiFaults;
pub use object::Object;
pub use object_api::ObjectApi;
pub use object_store::ObjectStore;
pub use write_condition::WriteCondition;
pub use write_conflict::WriteConflict;
