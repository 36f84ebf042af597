//! Why an attempt gave no usable answer.

use derive_more::Display;

use super::silence_cause::SilenceCause;
use crate::release::AnswerEnd;

/// Why an attempt gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) enum AttemptError {
    /// No connection was established, so nothing was sent.
    #[display("not_connected: {_0}")]
    NotConnected(String),
    /// No connection was tried, since no node reached the engine just before.
    #[display("not_connected: out of reach of all nodes that were asked")]
    OutOfReach,
    /// The engine refused the request without running it; holds the status.
    #[display("no_room: status {_0}")]
    NoRoom(u16),
    /// The engine is a different process than expected, or has other weights; holds the weights it stated.
    #[display("misdirected: {_0}")]
    Misdirected(String),
    /// The engine answered with a server error; the request may have run.
    #[display("may_have_run: status {_0}")]
    EngineError(u16),
    /// No answer came for longer than answers usually take; the request may have run.
    #[display("silent: {_0}")]
    Silent(SilenceCause),
    /// No answer came before the deadline of the engine's weights, which it holds; the request may have run.
    #[display("outdated: no answer before the deadline of weights {_0}")]
    Outdated(u64),
    /// The connection was closed before the answer was complete; the request may have run, and the engine may have
    /// crashed.
    #[display("may_have_run: {_0}")]
    Broken(String),
    /// The node is gone through which the engine was reached; the request may have run.
    #[display("may_have_run: tunnel lost: {_0}")]
    TunnelLost(String),
    /// The bytes after the head of the answer are no answer; the request may have run.
    #[display("may_have_run: no answer: {_0}")]
    NoAnswer(String),
    /// The received answer is not one to this request; the request may have run.
    #[display("may_have_run: {_0}")]
    MayHaveRun(String),
}

impl AttemptError {
    /// Whether the request reached the engine, so that the attempt counts against the retry budget.
    pub(super) fn reached_engine(&self) -> bool {
        !matches!(self, Self::NotConnected(_) | Self::OutOfReach)
    }

    /// Whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::EngineError(_)
                | Self::Silent(_)
                | Self::Outdated(_)
                | Self::Broken(_)
                | Self::TunnelLost(_)
                | Self::NoAnswer(_)
                | Self::MayHaveRun(_)
        )
    }

    /// How the answer ended, as reported for the evaluation of releases.
    pub(super) fn answer_end(&self) -> AnswerEnd {
        match self {
            Self::NotConnected(_) | Self::OutOfReach | Self::NoRoom(_) | Self::Misdirected(_) => {
                AnswerEnd::NotRun
            }
            Self::Silent(_) | Self::Outdated(_) | Self::TunnelLost(_) => AnswerEnd::Left,
            Self::EngineError(_) | Self::Broken(_) | Self::NoAnswer(_) | Self::MayHaveRun(_) => {
                AnswerEnd::Failed
            }
        }
    }

    /// Label of the error in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::NotConnected(_) | Self::OutOfReach => "not_connected",
            Self::NoRoom(_) => "no_room",
            Self::Misdirected(_) => "misdirected",
            Self::Silent(_) => "silent",
            Self::Outdated(_) => "outdated",
            Self::TunnelLost(_) => "tunnel_lost",
            Self::EngineError(_) | Self::Broken(_) | Self::NoAnswer(_) | Self::MayHaveRun(_) => {
                "may_have_run"
            }
        }
    }
}
