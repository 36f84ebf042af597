//! What can go wrong between the router and a back end.

use std::io;

use derive_more::{Display, Error};
use ryerouter_core::dispatch::NotRunReason;
use ryerouter_core::identity::{AttemptId, WeightsVersion};

/// What can go wrong between the router and a back end before its answer's body.
#[derive(Debug, Display, Error)]
pub(crate) enum LinkError {
    /// No connection.
    #[display("cannot connect: {source}")]
    Connect {
        /// The cause.
        source: io::Error,
    },
    /// No connection within the time limit.
    #[display("no connection in time")]
    ConnectTimeout,
    /// The connection was lost before a byte of the request was written.
    #[display("connection lost before the request was written")]
    NotWritten,
    /// The request cannot be put into HTTP.
    #[display("request cannot be written: {source}")]
    Unwritable {
        /// The cause.
        source: hyper::http::Error,
    },
    /// The connection was lost after bytes of the request may have been written.
    #[display("connection lost before the answer: {source}")]
    Lost {
        /// The cause.
        source: hyper::Error,
    },
    /// No answer within the time limit.
    #[display("no answer in time")]
    AnswerTimeout,
    /// The answer names another attempt, or none.
    #[display("answer names attempt {found:?} in place of {expected}")]
    WrongAttempt {
        /// The attempt asked for.
        expected: AttemptId,
        /// What the answer says.
        found: Option<String>,
    },
    /// The answer comes from other weights than asked for.
    #[display("answer comes from weights {found} in place of {expected}")]
    WrongWeights {
        /// The weights asked for.
        expected: WeightsVersion,
        /// What the answer says.
        found: WeightsVersion,
    },
    /// The claim may have lapsed before the request was written.
    #[display("the claim on the idempotency key has lapsed")]
    ClaimLapsed,
    /// A whole answer cannot be resumed by index.
    #[display("a whole answer cannot be resumed")]
    NotResumable,
    /// A stream was asked for and something else came.
    #[display("answer is no event stream")]
    NotAStream,
    /// The back end said that it did not run the request.
    #[display("not run: {reason} (status {status})")]
    NotRun {
        /// Its reason.
        reason: NotRunReason,
        /// Its status.
        status: u16,
    },
    /// The back end failed and did not say whether it ran the request.
    #[display("status {status} without a run state")]
    Failed {
        /// Its status.
        status: u16,
    },
}
