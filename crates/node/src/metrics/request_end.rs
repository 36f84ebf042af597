//! The end of a request as metrics and logs name it.

use ryerouter_core::dispatch::{FinalOutcome, Refusal};
use slog::{KV, Record, Serializer};

/// The end of a request as metrics and logs name it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestEnd {
    outcome: FinalOutcome,
}

impl RequestEnd {
    pub(crate) fn new(outcome: FinalOutcome) -> Self {
        Self { outcome }
    }

    pub(crate) fn outcome(&self) -> FinalOutcome {
        self.outcome
    }

    pub(crate) fn label(&self) -> &'static str {
        match self.outcome {
            FinalOutcome::Completed => "completed",
            FinalOutcome::Refused(_) => "refused",
            FinalOutcome::Cancelled => "cancelled",
        }
    }

    /// The refusal, where it ended so.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        match self.outcome {
            FinalOutcome::Refused(refusal) => Some(refusal),
            FinalOutcome::Completed | FinalOutcome::Cancelled => None,
        }
    }
}

impl KV for RequestEnd {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("outcome", self.label())?;
        if let Some(refusal) = self.refusal() {
            serializer.emit_str("reason", &refusal.reason.to_string())?;
            serializer.emit_str("run_state", &refusal.run_state.to_string())?;
        }
        Ok(())
    }
}
