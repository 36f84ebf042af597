//! Serves callers' requests: accepts them, forwards them to engines, and relays the answers.

mod accept;
mod accepted_request;
mod active_request;
mod answer_body;
mod answer_reporter;
mod attempt;
mod attempt_error;
mod body_error;
mod body_reader;
mod collect_error;
mod connection_server;
mod engine_list_state;
mod graceful_shutdown;
mod hop_by_hop_headers;
mod live_answer;
mod permit_search;
mod request_forwarder;
mod request_phase;
mod request_progress;
mod respond;
mod sent_request;
mod silence_cause;
mod silence_detector;
mod start_deadline;
mod stop_check;
mod stream_relay;

pub use accepted_request::AcceptedRequest;
pub use answer_body::AnswerBody;
pub use connection_server::{serve_callers, serve_callers_with};
pub use graceful_shutdown::{ShutdownSettings, graceful_shutdown};
