//! Where a request may go.

use super::Intake;

/// Where a request may go: to some engines, and when none of them serves to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The engines that it is for.
    pub first: Intake,
    /// When none of those serves, these; without them the request gets no engine.
    pub fallback: Option<Intake>,
    /// Whether engines that fail requests are passed over, so that the others get them: a version that
    /// isn't known to be good fails nobody.
    pub passes_over_failing: bool,
}

impl Admission {
    /// To these engines or to none.
    pub fn to(first: Intake) -> Self {
        Self {
            first,
            fallback: None,
            passes_over_failing: false,
        }
    }

    /// To these engines, else to others.
    pub fn with_fallback(first: Intake, fallback: Intake) -> Self {
        Self {
            first,
            fallback: Some(fallback),
            passes_over_failing: false,
        }
    }

    /// The same, but engines that fail requests are passed over.
    pub fn on_trial(first: Intake, fallback: Intake) -> Self {
        Self {
            passes_over_failing: true,
            ..Self::with_fallback(first, fallback)
        }
    }
}
