//! How an attempt ended without a usable answer.

use derive_more::Display;

use super::silence_cause::SilenceCause;
use crate::release::AnswerEnd;

/// How an attempt ended without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) enum AttemptError {
    /// Nothing was written.
    #[display("not_connected: {_0}")]
    NotConnected(String),
    /// The engine had no room.
    #[display("no_room: status {_0}")]
    NoRoom(u16),
    /// The engine is another process than expected, or has other weights.
    #[display("misdirected: {_0}")]
    Misdirected(String),
    /// The engine answered with an error; it may have run.
    #[display("may_have_run: status {_0}")]
    EngineError(u16),
    /// Nothing came for longer than answers take; it may have run.
    #[display("silent: {_0}")]
    Silent(SilenceCause),
    /// The connection ended before the answer did; it may have run, and its engine may have ended.
    #[display("may_have_run: {_0}")]
    Broken(String),
    /// What came is no answer to it; it may have run.
    #[display("may_have_run: {_0}")]
    MayHaveRun(String),
}

impl AttemptError {
    /// Whether the request reached the engine, so that the attempt counts in the retry budget.
    pub(super) fn reached_engine(&self) -> bool {
        !matches!(self, Self::NotConnected(_))
    }

    /// Whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::EngineError(_) | Self::Silent(_) | Self::Broken(_) | Self::MayHaveRun(_)
        )
    }

    /// What it says of the answer.
    pub(super) fn answer_end(&self) -> AnswerEnd {
        match self {
            Self::NotConnected(_) | Self::NoRoom(_) | Self::Misdirected(_) => AnswerEnd::NotRun,
            Self::Silent(_) => AnswerEnd::Left,
            Self::EngineError(_) | Self::Broken(_) | Self::MayHaveRun(_) => AnswerEnd::Failed,
        }
    }

    /// A short name for metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::NotConnected(_) => "not_connected",
            Self::NoRoom(_) => "no_room",
            Self::Misdirected(_) => "misdirected",
            Self::Silent(_) => "silent",
            Self::EngineError(_) | Self::Broken(_) | Self::MayHaveRun(_) => "may_have_run",
        }
    }
}
