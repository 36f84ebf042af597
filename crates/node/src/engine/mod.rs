//! Requests to back ends: connections, preconditions, and what an answer proves about whether the
//! request ran.

mod answer_head;
mod attempt_failure;
mod connection;
mod connection_pool;
mod engine_answer;
mod engine_body;
mod engine_link;
mod engine_request;
mod link_error;
mod rejected_answer;
mod request_payload;

pub(crate) use answer_head::AnswerHead;
pub(crate) use attempt_failure::AttemptFailure;
pub(crate) use connection::{EngineConnection, ReadLimits, SendFailure};
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use engine_answer::EngineAnswer;
pub(crate) use engine_body::EngineBody;
pub(crate) use engine_link::EngineLink;
pub(crate) use engine_request::EngineTarget;
pub(crate) use link_error::LinkError;
pub(crate) use rejected_answer::RejectedAnswer;
pub(crate) use request_payload::{PayloadKind, RequestPayload};
