//! Heads of answers.

use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use ryerouter_core::dispatch::{NotRunReason, RunState};
use ryerouter_core::identity::AttemptId;
use ryerouter_wire::engine_headers;

use super::load_history::state_name;
use crate::engine_model::EngineStatus;
use crate::standins::http::{Reply, text};

/// Sets what every answer's head says of the engine.
pub fn set_status(reply: &mut Reply, status: &EngineStatus) {
    set(
        reply,
        engine_headers::ENGINE_INCARNATION,
        status.incarnation,
    );
    set(
        reply,
        engine_headers::WEIGHTS_VERSION,
        status.weights_version,
    );
    set(reply, engine_headers::ENGINE_RUNNING, status.running);
    set(reply, engine_headers::ENGINE_WAITING, status.waiting);
    let queued = status.queued_tokens;
    set(
        reply,
        engine_headers::ENGINE_QUEUED_TOKENS,
        format!("{}/{}", queued.interactive, queued.batch),
    );
    set(reply, engine_headers::ENGINE_STATE, state_name(status));
}

/// Names the attempt that is answered.
pub fn set_attempt(reply: &mut Reply, attempt: AttemptId) {
    set(
        reply,
        engine_headers::ATTEMPT_ID,
        format!("{:032x}", attempt.0),
    );
}

/// Names the weights that answer, when they are not those the engine serves now.
pub fn set_weights(reply: &mut Reply, weights_version: u64) {
    set(reply, engine_headers::WEIGHTS_VERSION, weights_version);
}

/// A refusal: the request did not run.
pub fn refusal(reason: NotRunReason, detail: &str) -> Reply {
    let status = match reason {
        NotRunReason::IncarnationMismatch | NotRunReason::WeightsMismatch => {
            StatusCode::PRECONDITION_FAILED
        }
        NotRunReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Draining | NotRunReason::ConnectFailed => StatusCode::SERVICE_UNAVAILABLE,
        NotRunReason::Rejected => StatusCode::BAD_REQUEST,
    };
    let mut reply = text(status, format!("{detail}\n"));
    set(&mut reply, engine_headers::RUN_STATE, RunState::NotRun);
    set(&mut reply, engine_headers::NOT_RUN_REASON, reason);
    reply
}

/// The answer to a call for an attempt the engine does not know.
pub fn unknown_attempt() -> Reply {
    let mut reply = text(StatusCode::NOT_FOUND, "unknown attempt\n");
    set(&mut reply, engine_headers::RUN_STATE, RunState::NotRun);
    reply
}

fn set(reply: &mut Reply, name: &'static str, value: impl ToString) {
    let value =
        HeaderValue::from_str(&value.to_string()).expect("numbers and names are plain text");
    let name = HeaderName::from_static(name);
    reply.headers_mut().insert(name, value);
}
