//! Connections to engines.

mod abort_on_drop;
mod answer_times;
mod attempt_failure;
mod call_log;
mod call_terms;
mod called_address;
mod called_addresses;
mod connect_counts;
mod connection;
mod connection_use;
mod connector;
mod dialer;
mod engine_sender;
mod exchange;
mod hearings;
mod idle_connections;
mod json_caller;
mod opening_connections;
mod sent_call;
mod silence;
mod unended_call;
mod upstream_answer;

pub use abort_on_drop::AbortOnDrop;
pub use answer_times::AnswerTimes;
pub use attempt_failure::AttemptFailure;
pub use call_terms::CallTerms;
pub use connect_counts::ConnectCounts;
pub use connection::Connection;
pub use connection_use::ConnectionUse;
pub use connector::{ConnectSettings, connect, watch_for_silence};
pub use dialer::Dialer;
pub use engine_sender::Upstream;
pub use json_caller::{CallError, JsonCaller};
pub use silence::Silence;
pub use upstream_answer::UpstreamAnswer;
