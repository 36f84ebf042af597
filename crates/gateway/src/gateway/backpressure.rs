//! What engines say of themselves in their answers; see docs/design/backpressure.md.

use slog::{info, warn};

use super::Gateway;
use crate::placement::Placement;
use crate::request::AnswerFacts;

impl Gateway {
    /// Takes what an engine's answer to a request says of the engine.
    pub(crate) fn note_signal(&self, request: &str, placement: &Placement, facts: &AnswerFacts) {
        for field in &facts.invalid_fields {
            self.count_signal("invalid");
            if let Some(left_out) = self.signal_sampler().admit(self.clock().now()) {
                warn!(self.log(), "engine_signal_invalid"; "request" => request,
                    "engine" => %placement.engine, "field" => %field, "left_out" => left_out);
            }
        }
        let signal = &facts.signal;
        if signal.is_empty() {
            return;
        }
        let said = [
            ("leaving", signal.is_leaving),
            ("rest", signal.rest.is_some()),
            ("limit", signal.rate_limit.is_some()),
        ];
        for (kind, _) in said.iter().filter(|(_, is_said)| *is_said) {
            self.count_signal(kind);
        }
        if let Some(left_out) = self.signal_sampler().admit(self.clock().now()) {
            info!(self.log(), "engine_signal"; "request" => request,
                "engine" => %placement.engine, "leaving" => signal.is_leaving,
                "rest_ms" => signal.rest.map(|rest| rest.as_millis() as u64),
                "limit" => signal.rate_limit, "left_out" => left_out);
        }
    }

    fn count_signal(&self, kind: &str) {
        let signals = &self.metrics().engine_signals;
        signals.with_label_values(&[kind]).inc();
    }
}
