//! Where a request was held.

use derive_more::Display;

use super::attempt_error::AttemptError;
use crate::upstream::ConnectionUse;

/// Where a request was held last; see docs/design/accounting.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(super) enum RequestPhase {
    /// In this node: its body was read, its engine chosen.
    #[default]
    #[display("own_node")]
    OwnNode,
    /// A connection to an engine was being opened.
    #[display("connecting")]
    Connecting,
    /// It was sent on a kept connection, and no answer came.
    #[display("silent_kept")]
    SilentKept,
    /// It was sent on a new connection, and no answer came.
    #[display("silent_new")]
    SilentNew,
    /// The stream has begun.
    #[display("stream")]
    Stream,
    /// Its engine could not be reached, or broke the connection off.
    #[display("engine_gone")]
    EngineGone,
    /// Its engine answered with an error.
    #[display("engine_failed")]
    EngineFailed,
    /// Engines did not take it.
    #[display("no_room")]
    NoRoom,
}

impl RequestPhase {
    /// While an attempt waits for its answer.
    pub(super) fn waiting(connection_use: Option<ConnectionUse>) -> Self {
        match connection_use {
            None => Self::Connecting,
            Some(ConnectionUse::Kept) => Self::SilentKept,
            Some(ConnectionUse::New) => Self::SilentNew,
        }
    }

    /// After an attempt that ended without a usable answer.
    pub(super) fn after(error: &AttemptError, connection_use: Option<ConnectionUse>) -> Self {
        match error {
            AttemptError::Silent(_) => Self::waiting(connection_use),
            AttemptError::NotConnected(_)
            | AttemptError::Broken(_)
            | AttemptError::MayHaveRun(_) => Self::EngineGone,
            AttemptError::EngineError(_) => Self::EngineFailed,
            AttemptError::NoRoom(_) | AttemptError::Misdirected(_) => Self::NoRoom,
        }
    }
}
