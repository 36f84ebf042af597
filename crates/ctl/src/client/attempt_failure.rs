//! Why one try of a call failed.

use tonic::{Code, Status};

use crate::ctl_error::CtlError;

/// Why one try of a call failed.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// Nothing was sent.
    NotSent(CtlError),
    /// The node answered that nothing was done and another try may succeed.
    NotDone(Status),
    /// It may have been done.
    Unknown(Status),
    /// The node refused it; another try would be refused too.
    Refused(Status),
}

impl From<Status> for AttemptFailure {
    fn from(status: Status) -> Self {
        // A status with a source was made on this side, from a broken connection.
        let answered = std::error::Error::source(&status).is_none();
        match status.code() {
            Code::Unavailable if answered => Self::NotDone(status),
            Code::Unavailable | Code::Unknown | Code::Cancelled | Code::DeadlineExceeded => {
                Self::Unknown(status)
            }
            Code::Internal if !answered => Self::Unknown(status),
            _ => Self::Refused(status),
        }
    }
}
