//! What the head of a back end's answer says.

use std::str::FromStr;

use hyper::HeaderMap;
use ryerouter_core::dispatch::{EngineObservation, NotRunReason, QueuedTokens, RunState};
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};
use ryerouter_wire::engine_headers;

/// What the head of a back end's answer says.
#[derive(Debug, Clone)]
pub(crate) struct AnswerHead {
    pub(crate) attempt: Option<String>,
    pub(crate) run_state: Option<RunState>,
    pub(crate) not_run_reason: Option<NotRunReason>,
    /// Absent from plain services, which report nothing of themselves.
    pub(crate) observation: Option<EngineObservation>,
}

impl AnswerHead {
    pub(crate) fn parse(headers: &HeaderMap) -> Self {
        Self {
            attempt: text(headers, engine_headers::ATTEMPT_ID).map(str::to_owned),
            run_state: text(headers, engine_headers::RUN_STATE).and_then(run_state),
            not_run_reason: text(headers, engine_headers::NOT_RUN_REASON).and_then(reason),
            observation: observation(headers),
        }
    }

    /// Whether the answer echoes the attempt it was asked for.
    pub(crate) fn names(&self, attempt: AttemptId) -> bool {
        let found = self.attempt.as_deref();
        let found = found.and_then(|text| u128::from_str_radix(text, 16).ok());
        found == Some(attempt.0)
    }
}

fn observation(headers: &HeaderMap) -> Option<EngineObservation> {
    let incarnation: u64 = number(headers, engine_headers::ENGINE_INCARNATION)?;
    Some(EngineObservation {
        incarnation: Incarnation(incarnation),
        weights_version: WeightsVersion(
            number(headers, engine_headers::WEIGHTS_VERSION).unwrap_or_default(),
        ),
        running: number(headers, engine_headers::ENGINE_RUNNING).unwrap_or_default(),
        waiting: number(headers, engine_headers::ENGINE_WAITING).unwrap_or_default(),
        queued_tokens: text(headers, engine_headers::ENGINE_QUEUED_TOKENS).and_then(queued_tokens),
        draining: text(headers, engine_headers::ENGINE_STATE) == Some("draining"),
        cached_tokens: None,
        prompt_tokens: None,
    })
}

/// Parses `INTERACTIVE/BATCH`.
fn queued_tokens(text: &str) -> Option<QueuedTokens> {
    let (interactive, batch) = text.split_once('/')?;
    Some(QueuedTokens {
        interactive: interactive.parse().ok()?,
        batch: batch.parse().ok()?,
    })
}

fn run_state(text: &str) -> Option<RunState> {
    let states = [RunState::NotRun, RunState::Ran, RunState::Unknown];
    states.into_iter().find(|state| state.to_string() == text)
}

fn reason(text: &str) -> Option<NotRunReason> {
    let reasons = [
        NotRunReason::IncarnationMismatch,
        NotRunReason::WeightsMismatch,
        NotRunReason::Overloaded,
        NotRunReason::Draining,
        NotRunReason::Rejected,
    ];
    reasons
        .into_iter()
        .find(|reason| reason.to_string() == text)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<N: FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    text(headers, name)?.parse().ok()
}
