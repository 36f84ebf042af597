//! The end of a request as metrics and logs name it.

use ryerouter_core::dispatch::FinalOutcome;

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

    /// The reason of a refusal; empty for other ends.
    pub(crate) fn reason_label(&self) -> String {
        match self.outcome {
            FinalOutcome::Refused(refusal) => refusal.reason.to_string(),
            FinalOutcome::Completed | FinalOutcome::Cancelled => String::new(),
        }
    }

    /// Whether a refused request ran; empty for other ends.
    pub(crate) fn run_state_label(&self) -> String {
        match self.outcome {
            FinalOutcome::Refused(refusal) => refusal.run_state.to_string(),
            FinalOutcome::Completed | FinalOutcome::Cancelled => String::new(),
        }
    }

    /// One line for operators.
    pub(crate) fn describe(&self) -> String {
        match self.outcome {
            FinalOutcome::Refused(refusal) => {
                format!("refused: {}, {}", refusal.reason, refusal.run_state)
            }
            FinalOutcome::Completed | FinalOutcome::Cancelled => self.label().to_owned(),
        }
    }
}
