//! How long silence is believed to be work.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::accepted_request::AcceptedRequest;
use super::doubt::Doubt;
use crate::engines::ResponsePhase;
use crate::gateway::Gateway;
use crate::upstream::ConnectionUse;

/// How often it is asked again whether a silence that is long enough has become certain: news of the
/// engine come with any answer, so this adds to the wait, and wakes only requests that are late.
const ASKED_EVERY: Duration = Duration::from_millis(100);

/// How long silence on a connection is believed to be work of its engine, as known when it began;
/// see docs/design/accounting.md.
#[derive(Debug, Clone)]
pub(super) struct SilenceLimits {
    pub(super) engine: BackEndName,
    /// When the silence began.
    pub(super) since: Timestamp,
    while_others_are_answered: Duration,
    without_news: Duration,
}

impl SilenceLimits {
    /// `None` before enough answers were seen.
    pub(super) fn new(
        gateway: &Gateway,
        request: &AcceptedRequest,
        engine: &BackEndName,
        part: ResponsePhase,
        since: Timestamp,
    ) -> Option<Self> {
        let state = gateway.state();
        let times = &state.phase_times;
        let estimate = times.estimate(&request.pool, &request.route.name, part)?;
        Some(Self {
            engine: engine.clone(),
            since,
            while_others_are_answered: estimate.max_while_others_answered(),
            without_news: estimate.max_without_response(),
        })
    }

    /// When to ask first, or next.
    pub(super) fn due(&self, now: Timestamp) -> Timestamp {
        let first = self.since.after(self.while_others_are_answered);
        first.max(now.after(ASKED_EVERY))
    }

    /// What is doubted, when the connection is no longer believed to carry an answer, if so.
    ///
    /// An engine that answers what was sent later is not stuck. Without such news only a kept
    /// connection is doubted, since nothing has proved it since it was idle.
    pub(super) fn verdict(&self, gateway: &Gateway, used: Option<ConnectionUse>) -> Option<Doubt> {
        let now = gateway.clock().now();
        let silent = now.since(self.since);
        let answers_later = self.answers_later(gateway);
        if answers_later && silent >= self.while_others_are_answered {
            return Some(Doubt::Connection);
        }
        let is_doubted = used == Some(ConnectionUse::Kept) && silent >= self.without_news;
        is_doubted.then_some(Doubt::Engine)
    }

    /// Whether the engine has answered a request that was sent after this silence began.
    pub(super) fn answers_later(&self, gateway: &Gateway) -> bool {
        let state = gateway.state();
        let engine = state.engines.get(&self.engine);
        engine.is_some_and(|engine| engine.has_answered_request_sent_after(self.since))
    }
}
