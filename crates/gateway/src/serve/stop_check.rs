//! Refuses requests that a stopping node can't finish.

use std::time::Duration;

use super::request_forwarder::RequestForwarder;
use crate::request::{Refusal, RefusalReason};

/// Time that is kept for writing an answer to its caller.
const WRITE_TIME: Duration = Duration::from_millis(200);
/// Retry-after time while this node stops: other nodes can serve at once.
const OTHER_NODE_RETRY: Duration = Duration::from_millis(50);

impl RequestForwarder {
    /// Refuses a request that has not run if it may not be answered before this node's process ends, which would cut it
    /// off while an engine runs it.
    pub(super) fn check_time_until_stop(&self) -> Result<(), Refusal> {
        let Some(left) = self.gateway.time_until_stop() else {
            return Ok(());
        };
        let needed = self.longest_answer() + WRITE_TIME;
        let has_begun = self.may_have_run || self.has_answer_begun;
        if has_begun || needed <= left {
            return Ok(());
        }
        let (needed_ms, left_ms) = (needed.as_millis() as u64, left.as_millis() as u64);
        let detail = format!("node stops in {left_ms} ms, an answer may take {needed_ms} ms");
        Err(Refusal::new(RefusalReason::Stopping, detail).with_retry_after(OTHER_NODE_RETRY))
    }

    /// How long an answer may take from now on: by its deadline, or by what answers of the route take.
    fn longest_answer(&self) -> Duration {
        let request = &self.request;
        let prompt = request.caller.prompt.as_ref();
        let output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens);
        let state = self.gateway.state();
        let usual = state
            .answer_durations
            .bound(&request.route.name, output_tokens);
        let limit = request.deadline.since(self.gateway.clock().now());
        usual.map_or(limit, |usual| usual.min(limit))
    }

    /// Records how long the request took until the end of its answer.
    pub(super) fn note_duration(&self) {
        let request = &self.request;
        let prompt = request.caller.prompt.as_ref();
        let output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens);
        let now = self.gateway.clock().now();
        let took = now.since(request.arrived_at);
        let durations = &mut self.gateway.state_mut().answer_durations;
        durations.note(&request.route.name, took, output_tokens, now);
    }
}
