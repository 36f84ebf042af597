//! How long silence is believed to be work.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::accepted_request::AcceptedRequest;
use super::silence_cause::SilenceCause;
use crate::engines::AwaitedPart;
use crate::gateway::Gateway;
use crate::upstream::ConnectionUse;

/// How often it is asked again whether a silence that is long enough has become certain: news of the
/// engine come with any answer, so this adds to the wait, and wakes only requests that are late.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long silence on a connection is believed to be work of its engine, as known when it began;
/// see docs/design/accounting.md.
#[derive(Debug, Clone)]
pub(super) struct SilenceDetector {
    pub(super) engine: BackEndName,
    /// When the silence began.
    pub(super) since: Timestamp,
    limit_with_later_answers: Duration,
    limit_without_answers: Duration,
}

impl SilenceDetector {
    /// `None` before enough answers were seen.
    pub(super) fn new(
        gateway: &Gateway,
        request: &AcceptedRequest,
        engine: &BackEndName,
        part: AwaitedPart,
        since: Timestamp,
    ) -> Option<Self> {
        let state = gateway.state();
        let times = &state.part_times;
        let estimate = times.estimate(&request.pool, &request.route.name, part)?;
        Some(Self {
            engine: engine.clone(),
            since,
            limit_with_later_answers: estimate.longest_while_others_are_answered(),
            limit_without_answers: estimate.longest_without_news(),
        })
    }

    /// When to ask first, or next.
    pub(super) fn next_check(&self, now: Timestamp) -> Timestamp {
        let first = self.since.after(self.limit_with_later_answers);
        first.max(now.after(CHECK_INTERVAL))
    }

    /// What is doubted, when the connection is no longer believed to carry an answer, if so.
    ///
    /// An engine that answers what was sent later is not stuck. Without such news only a kept
    /// connection is doubted, since nothing has proved it since it was idle.
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
            connection_use == Some(ConnectionUse::Kept) && silent >= self.limit_without_answers;
        is_overdue.then_some(SilenceCause::Engine)
    }

    /// Whether the engine has answered a request that was sent after this silence began.
    pub(super) fn has_later_answers(&self, gateway: &Gateway) -> bool {
        let state = gateway.state();
        let engine = state.engines.get(&self.engine);
        engine.is_some_and(|engine| engine.has_answered_what_was_sent_after(self.since))
    }
}
