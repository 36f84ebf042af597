//! Connections to engines.

mod abort_on_drop;
mod attempt_failure;
mod connection;
mod connector;
mod idle_connections;
mod json_caller;
mod upstream;
mod upstream_answer;

pub use abort_on_drop::AbortOnDrop;
pub use attempt_failure::AttemptFailure;
pub use connection::Connection;
pub use connector::{ConnectSettings, connect};
pub use json_caller::{CallError, JsonCaller};
pub use upstream::Upstream;
pub use upstream_answer::UpstreamAnswer;
