//! Callers' requests, and the translation of request and answer heads from and to the wire protocol.

mod answer_facts;
mod attempt_head;
mod bad_request;
mod caller_request;
mod dialect;
mod draw;
mod invalid_field;
mod refusal;
mod unreadable_configuration;

pub use answer_facts::AnswerFacts;
pub use attempt_head::AttemptHead;
pub use bad_request::BadRequest;
pub use caller_request::CallerRequest;
pub use dialect::Dialect;
pub use draw::Draw;
pub use invalid_field::InvalidField;
pub use refusal::{Refusal, RefusalReason};
pub use unreadable_configuration::UnreadableConfiguration;
