//! Requests of callers: authentication, reading, checking, and the answers they get.

mod answer_body;
mod authentication;
mod body_budget;
mod body_reader;
mod caller_error;
mod caller_options;
mod caller_service;
mod completion_document;
mod completion_intake;
mod intake;
mod model_list;
mod request_id;

pub(crate) use answer_body::AnswerBody;
pub(crate) use authentication::authenticate;
pub(crate) use body_budget::{BodyBudget, BodyLease};
pub(crate) use body_reader::{HeldBody, read_body};
pub(crate) use caller_error::CallerError;
pub(crate) use caller_options::CallerOptions;
pub(crate) use caller_service::CallerService;
pub(crate) use intake::{Intake, answer_intake};
