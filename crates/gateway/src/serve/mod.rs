//! The life of a request: intake, attempts, answer.

mod accepted_request;
mod active_request;
mod answer_body;
mod answer_reporter;
mod attempt;
mod attempt_end;
mod body_reader;
mod connection_server;
mod doubt;
mod exchange;
mod forwarded_headers;
mod held_at;
mod held_request;
mod intake;
mod list_state;
mod live_answer;
mod planned_stop;
mod respond;
mod silence_limits;
mod stream_relay;

pub use accepted_request::AcceptedRequest;
pub use answer_body::AnswerBody;
pub use connection_server::{serve_callers, serve_callers_on};
pub use planned_stop::{StopSettings, planned_stop};
