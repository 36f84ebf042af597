//! Connections to engines.

mod abort_on_drop;
mod attempt_failure;
mod connection;
mod connection_use;
mod connector;
mod engine_sender;
mod idle_connections;
mod json_caller;
mod upstream_answer;

pub use abort_on_drop::AbortOnDrop;
pub use attempt_failure::AttemptFailure;
pub use connection::Connection;
pub use connection_use::ConnectionUse;
pub use connector::{ConnectSettings, connect};
pub use engine_sender::Upstream;
pub use json_caller::{CallError, JsonCaller};
pub use upstream_answer::UpstreamAnswer;
