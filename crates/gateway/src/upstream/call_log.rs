//! Log lines and counters of calls.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::{Discard, Logger, info, o, warn};

use super::sent_call::SentCall;
use crate::telemetry::Metrics;

/// A call that may be held for so long is logged when it is sent, so that the log shows since when
/// it was open on a connection of which age; shorter ones end soon enough to tell by themselves.
const LONG_HOLD: Duration = Duration::from_secs(1);

/// Tells of calls and their connections.
#[derive(Debug)]
pub(super) struct CallLog {
    log: Logger,
    metrics: Rc<Metrics>,
}

impl CallLog {
    pub(super) fn new(log: Logger, metrics: Rc<Metrics>) -> Self {
        Self { log, metrics }
    }

    /// Tells nobody.
    pub(super) fn quiet() -> Self {
        Self::new(Logger::root(Discard, o!()), Rc::default())
    }

    pub(super) fn sent(&self, call: &SentCall) {
        if call.terms.hold >= LONG_HOLD {
            info!(self.log, "call_held"; "address" => %call.address,
                "hold_ms" => millis(call.terms.hold), "connection" => call.connection_kind(),
                "connection_age_ms" => millis(call.sent_at.since(call.opened_at)),
                "unheard_ms" => millis(call.sent_at.since(call.heard_before)));
        }
    }

    pub(super) fn answered(&self, call: &SentCall) {
        self.count_call("answered", call);
    }

    pub(super) fn silent(
        &self,
        call: &SentCall,
        patience: Duration,
        closed: usize,
        now: Timestamp,
    ) {
        self.count_call("silent", call);
        self.count_silence("suspected");
        let next = match call.is_repeated_after(patience) {
            true => "repeat on a new connection",
            false => "end unanswered",
        };
        warn!(self.log, "connection_silent"; "address" => %call.address,
            "connection_age_ms" => millis(now.since(call.opened_at)),
            "idle_ms" => millis(call.sent_at.since(call.heard_before)),
            "waited_ms" => millis(now.since(call.sent_at)), "patience_ms" => millis(patience),
            "hold_ms" => millis(call.terms.hold), "idle_closed" => closed, "next" => next);
    }

    pub(super) fn unanswered(
        &self,
        call: &SentCall,
        ended_by: &'static str,
        closed: usize,
        now: Timestamp,
    ) {
        self.count_call("unanswered", call);
        info!(self.log, "call_unanswered"; "address" => %call.address, "ended_by" => ended_by,
            "connection" => call.connection_kind(),
            "connection_age_ms" => millis(now.since(call.opened_at)),
            "waited_ms" => millis(now.since(call.sent_at)),
            "hold_ms" => millis(call.terms.hold), "is_heard" => call.is_heard(),
            "idle_closed" => closed);
    }

    pub(super) fn withdrawn(&self, call: &SentCall, taken: Duration) {
        self.count_silence("withdrawn");
        info!(self.log, "silence_withdrawn"; "address" => %call.address,
            "taken_ms" => millis(taken));
    }

    pub(super) fn confirmed(
        &self,
        answered: &SentCall,
        since: Timestamp,
        closed: usize,
        now: Timestamp,
    ) {
        self.count_silence("confirmed");
        warn!(self.log, "silence_confirmed"; "address" => %answered.address,
            "silent_for_ms" => millis(now.since(since)),
            "new_connection_age_ms" => millis(now.since(answered.opened_at)),
            "idle_closed" => closed);
    }

    pub(super) fn ended_by_silence(&self, call: &SentCall, now: Timestamp) {
        self.count_call("ended_by_silence", call);
        warn!(self.log, "call_ended_by_silence"; "address" => %call.address,
            "open_ms" => millis(now.since(call.sent_at)), "hold_ms" => millis(call.terms.hold),
            "connection" => call.connection_kind(),
            "connection_age_ms" => millis(now.since(call.opened_at)),
            "unheard_ms" => millis(now.since(call.heard_at.get())));
    }

    fn count_call(&self, outcome: &str, call: &SentCall) {
        let calls = &self.metrics.calls;
        calls
            .with_label_values(&[outcome, call.connection_kind()])
            .inc();
    }

    fn count_silence(&self, verdict: &str) {
        self.metrics.silences.with_label_values(&[verdict]).inc();
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
