//! Prompt tokens recently sent to an engine.

use std::collections::VecDeque;
use std::time::Duration;

use crate::timestamp::Timestamp;

use super::Priority;

/// Entries older than this are dropped.
const SEND_RETENTION: Duration = Duration::from_secs(2);

/// Uncached prompt tokens that this process recently sent to an engine.
///
/// Tokens sent after an engine's last report are added to the queued tokens that it reported.
#[derive(Debug, Default)]
pub(super) struct SentTokens {
    sends: VecDeque<(Timestamp, Priority, u32)>,
}

impl SentTokens {
    pub(super) fn add(&mut self, priority: Priority, tokens: u32, now: Timestamp) {
        let is_old = |at: Timestamp| now.since(at) > SEND_RETENTION;
        while self.sends.front().is_some_and(|(at, _, _)| is_old(*at)) {
            self.sends.pop_front();
        }
        self.sends.push_back((now, priority, tokens));
    }

    /// Tokens sent after `observed_at` that the engine computes before those of a new request;
    /// `None` if entries since then may already have been dropped.
    pub(super) fn since(
        &self,
        observed_at: Timestamp,
        priority: Priority,
        now: Timestamp,
    ) -> Option<f64> {
        if now.since(observed_at) > SEND_RETENTION {
            return None;
        }
        let newer = self
            .sends
            .iter()
            .rev()
            .take_while(|(at, _, _)| *at > observed_at);
        let ahead = newer.filter(|(_, sent, _)| *sent >= priority);
        Some(ahead.map(|(_, _, tokens)| f64::from(*tokens)).sum())
    }
}
