//! Final answers of the gateway's own.

use std::time::Duration;

use derive_more::{Display, Error};
use hyper::StatusCode;

/// Why a request gets no answer of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// No configuration is known yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The configuration may be out of date, so keys can't be trusted.
    #[display("configuration_unproven")]
    ConfigurationUnproven,
    /// No route has this host and path.
    #[display("no_route")]
    NoRoute,
    /// The key is unknown, or missing.
    #[display("unknown_key")]
    UnknownKey,
    /// The tenant has used up its limit.
    #[display("over_limit")]
    OverLimit,
    /// A header field makes no sense.
    #[display("bad_request")]
    BadRequest,
    /// The body is longer than allowed, or broke off.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The caller's body broke off.
    #[display("body_broken")]
    BodyBroken,
    /// The caller's body did not come in time.
    #[display("body_too_slow")]
    BodyTooSlow,
    /// No engine takes work now.
    #[display("no_engine")]
    NoEngine,
    /// Every engine that was asked had no room or could not be reached.
    #[display("not_run")]
    NotRun,
    /// Engines have ended under this request again and again.
    #[display("ends_engines")]
    CrashesEngines,
    /// The time ran out before the request ran.
    #[display("deadline_not_run")]
    DeadlineNotRun,
    /// The time ran out; the request may have run.
    #[display("deadline_may_have_run")]
    DeadlineMayHaveRun,
    /// The engine broke off; the request may have run and must not run twice.
    #[display("may_have_run")]
    MayHaveRun,
}

/// The final answer to a request that gets none of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}: {detail}")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// For a person.
    pub detail: String,
    /// When the caller may come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal after which it is of no use to come back.
    pub fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Whether the request certainly has not run.
    pub fn is_not_run(&self) -> bool {
        let may_run = [RefusalReason::MayHaveRun, RefusalReason::DeadlineMayHaveRun];
        !may_run.contains(&self.reason)
    }

    /// The status of the answer: 408 and 503 promise that the request has not run, 502 and 504 do not.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::BadRequest | RefusalReason::BodyBroken => StatusCode::BAD_REQUEST,
            RefusalReason::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::MayHaveRun => StatusCode::BAD_GATEWAY,
            RefusalReason::DeadlineMayHaveRun => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::NoConfiguration
            | RefusalReason::ConfigurationUnproven
            | RefusalReason::NoEngine
            | RefusalReason::CrashesEngines
            | RefusalReason::NotRun
            | RefusalReason::DeadlineNotRun => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
