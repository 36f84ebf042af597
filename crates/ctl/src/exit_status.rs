//! Exit codes.

use std::process::ExitCode;

/// How an invocation ended; the number is the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// What was asked for is done.
    Success = 0,
    /// `diff` found differences.
    Different = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The file or a value in it is refused; nothing was written.
    Invalid = 3,
    /// Another change came first; nothing was written.
    Conflict = 4,
    /// There is no such thing.
    NotFound = 5,
    /// No node answered, or the object API is down; nothing was written.
    Unavailable = 6,
    /// The change may or may not have been made; the same change id settles it.
    OutcomeUnknown = 7,
    /// `--wait` ran out of time.
    TimedOut = 8,
    /// The operator may not do this.
    Denied = 9,
    /// Anything else.
    Failed = 10,
}

impl ExitStatus {
    /// Every status with what it means, for the help text.
    pub const MEANINGS: &'static [(Self, &'static str)] = &[
        (Self::Success, "done"),
        (Self::Different, "diff: there are differences"),
        (Self::Usage, "wrong command line"),
        (Self::Invalid, "input refused, nothing written"),
        (Self::Conflict, "another change came first, nothing written"),
        (Self::NotFound, "no such resource or request"),
        (
            Self::Unavailable,
            "no answer from node or object API, nothing written",
        ),
        (
            Self::OutcomeUnknown,
            "may have been written: repeat with the same --change-id",
        ),
        (Self::TimedOut, "--wait ran out of time"),
        (Self::Denied, "not allowed"),
        (Self::Failed, "any other failure"),
    ];
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
