//! Refusals: answers that the gateway gives itself.

use std::time::Duration;

use derive_more::{Display, Error};
use hyper::StatusCode;

/// Why the gateway refuses a request instead of relaying an engine's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The node has not received a configuration yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The configuration may be outdated, so API keys can't be checked.
    #[display("configuration_unproven")]
    ConfigurationUnproven,
    /// No route matches the host and path.
    #[display("no_route")]
    NoRoute,
    /// The API key is unknown or missing.
    #[display("unknown_key")]
    UnknownKey,
    /// The tenant has used up its limit.
    #[display("over_limit")]
    OverLimit,
    /// A header field is invalid.
    #[display("bad_request")]
    BadRequest,
    /// The body is longer than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The caller's body broke off.
    #[display("body_broken")]
    BodyBroken,
    /// The caller's body did not arrive in time.
    #[display("body_too_slow")]
    BodyTooSlow,
    /// This node has no memory for the body.
    #[display("no_memory")]
    NoMemory,
    /// This node stops before the request could be answered.
    #[display("stopping")]
    Stopping,
    /// No engine accepts requests now.
    #[display("no_engine")]
    NoEngine,
    /// The engines of the pool can't begin the request in time.
    #[display("overloaded")]
    Overloaded,
    /// Engines refused the request or could not be reached, and no further attempt is allowed.
    #[display("not_run")]
    NotRun,
    /// The software version that began the stream is not known.
    #[display("unknown_version")]
    UnknownVersion,
    /// No engine runs the software version that began the stream any more.
    #[display("version_gone")]
    VersionGone,
    /// Engines have crashed repeatedly while running this request.
    #[display("ends_engines")]
    CrashesEngines,
    /// The deadline passed before the request ran.
    #[display("deadline_not_run")]
    DeadlineNotRun,
    /// The deadline passed; the request may have run.
    #[display("deadline_may_have_run")]
    DeadlineMayHaveRun,
    /// No usable answer was received; the request may have run and is not sent again.
    #[display("may_have_run")]
    MayHaveRun,
}

/// The final answer to a request that the gateway refuses.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{reason}: {detail}")]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// Explanation for a person.
    pub detail: String,
    /// How long the caller should wait before a retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal after which a retry does not help.
    pub fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets how long the caller should wait before a retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Whether it is certain that the request has not run.
    pub fn is_not_run(&self) -> bool {
        let may_run = [RefusalReason::MayHaveRun, RefusalReason::DeadlineMayHaveRun];
        !may_run.contains(&self.reason)
    }

    /// The status of the answer. Statuses 408 and 503 guarantee that the request has not run, 502 and 504 do not.
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
            | RefusalReason::NoMemory
            | RefusalReason::Stopping
            | RefusalReason::NoEngine
            | RefusalReason::Overloaded
            | RefusalReason::CrashesEngines
            | RefusalReason::UnknownVersion
            | RefusalReason::VersionGone
            | RefusalReason::NotRun
            | RefusalReason::DeadlineNotRun => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
