//! Refusals as callers see them: status, headers and the OpenAI API's error body.

mod error_body;
mod gate_refusal;
mod refusal_answer;

pub(crate) use error_body::error_event;
pub(crate) use gate_refusal::gate_refusal;
pub(crate) use refusal_answer::{caller_error_answer, refusal_answer, rejected_answer};
