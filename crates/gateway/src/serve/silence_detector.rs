//! Detects attempts that have been silent for longer than the engine's work can explain.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::accepted_request::AcceptedRequest;
use super::silence_cause::SilenceCause;
use crate::engines::AnswerPhase;
use crate::gateway::Gateway;
use crate::upstream::ConnectionUse;

/// Interval between checks of a silence that has exceeded its first limit. Any answer of the engine may change the
/// outcome. The interval delays the decision by up to its length, and only requests that are late are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Decides when silence on a connection is too long to be explained by the engine's work, using limits that were
/// estimated when the silence began; see docs/design/accounting.md.
#[derive(Debug, Clone)]
pub(super) struct SilenceDetector {
    /// The engine whose answer is awaited.
    pub(super) engine: BackEndName,
    /// When the silence began.
    pub(super) since: Timestamp,
    /// Maximum silence while the engine answers requests that were sent later.
    limit_with_later_answers: Duration,
    /// Maximum silence on a reused connection while the engine answers no later requests.
    limit_without_answers: Duration,
}

impl SilenceDetector {
    /// Creates a detector for silence that begins at `since`; `None` before enough answers have been seen to estimate
    /// the limits.
    pub(super) fn new(
        gateway: &Gateway,
        request: &AcceptedRequest,
        engine: &BackEndName,
        phase: AnswerPhase,
        since: Timestamp,
    ) -> Option<Self> {
        let state = gateway.state();
        let times = &state.phase_times;
        let estimate = times.estimate(&request.pool, &request.route.name, phase)?;
        Some(Self {
            engine: engine.clone(),
            since,
            limit_with_later_answers: estimate.max_with_later_answers(),
            limit_without_answers: estimate.max_without_answers(),
        })
    }

    /// When to call [`Self::detect`] next.
    pub(super) fn next_check(&self, now: Timestamp) -> Timestamp {
        let first = self.since.after(self.limit_with_later_answers);
        first.max(now.after(CHECK_INTERVAL))
    }

    /// Returns the suspected cause if the silence exceeds its limit.
    ///
    /// An engine that answers requests which were sent later is not stuck, so the connection is suspected. Without such
    /// answers, silence is suspicious only on a reused connection, which may have broken unnoticed while it was idle.
    pub(super) fn detect(
        &self,
        gateway: &Gateway,
        connection_use: Option<ConnectionUse>,
    ) -> Option<SilenceCause> {
        let now = gateway.clock().now();
        let silent = now.since(self.since);
        let has_later_answers = self.has_later_answers(gateway);
        if has_later_answers && silent >= self.limit_with_later_answers {
            return Some(SilenceCause::Connection);
        }
        let is_overdue =
            connection_use == Some(ConnectionUse::Reused) && silent >= self.limit_without_answers;
        is_overdue.then_some(SilenceCause::Engine)
    }

    /// Whether the engine has answered a request that was sent after this silence began.
    pub(super) fn has_later_answers(&self, gateway: &Gateway) -> bool {
        let state = gateway.state();
        let engine = state.engines.get(&self.engine);
        engine.is_some_and(|engine| engine.has_answered_request_sent_after(self.since))
    }
}
