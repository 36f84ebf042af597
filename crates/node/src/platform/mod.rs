//! Clients of the platform: the object API and the list of machines.
//!
//! See `docs/design/platform-protocol.md`. Every call has a time limit and a size limit, and an
//! error says whether the call may have taken effect all the same.

mod http_caller;
mod machine_client;
mod object;
mod object_change;
mod object_client;
mod object_condition;
mod object_list;
mod object_watch;
mod platform_error;
mod platform_limits;

pub(crate) use http_caller::{HttpCaller, decode, request};
pub use machine_client::MachineClient;
pub use object::Object;
pub use object_change::ObjectChange;
pub use object_client::ObjectClient;
pub use object_condition::ObjectCondition;
pub use object_list::ObjectList;
pub use object_watch::ObjectWatch;
pub use platform_error::PlatformError;
pub use platform_limits::PlatformLimits;
