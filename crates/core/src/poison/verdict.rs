//! Decision whether a request may be sent to an engine.

use std::time::Duration;

/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request runs like any other.
    Allowed,
    /// The request is blocked, but a trial run is due to find out whether it still crashes its engine.
    Trial,
    /// The request is blocked.
    Refused {
        /// Time until the next trial.
        retry_after: Duration,
    },
}

impl Verdict {
    /// The stricter of two verdicts.
    pub(super) fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (
                Self::Refused { retry_after },
                Self::Refused {
                    retry_after: of_other,
                },
            ) => Self::Refused {
                retry_after: retry_after.max(of_other),
            },
            (refused @ Self::Refused { .. }, _) | (_, refused @ Self::Refused { .. }) => refused,
            (Self::Trial, _) | (_, Self::Trial) => Self::Trial,
            (Self::Allowed, Self::Allowed) => Self::Allowed,
        }
    }
}
