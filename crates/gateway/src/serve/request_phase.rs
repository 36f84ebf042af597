//! Phases of a request.

use derive_more::Display;

use super::attempt_error::AttemptError;
use crate::upstream::ConnectionUse;

/// The phase that a request is in, or was in when it ended; see docs/design/accounting.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(super) enum RequestPhase {
    /// In this node: its body is being read or its engine chosen.
    #[default]
    #[display("own_node")]
    OwnNode,
    /// A connection to an engine is being opened.
    #[display("connecting")]
    Connecting,
    /// It was sent over a reused connection, and no answer has come.
    #[display("silent_kept")]
    SilentReused,
    /// It was sent over a new connection, and no answer has come.
    #[display("silent_new")]
    SilentNew,
    /// Events of its stream are being forwarded.
    #[display("stream")]
    Stream,
    /// Its engine could not be reached, broke the connection off, or sent an unusable answer.
    #[display("engine_gone")]
    EngineGone,
    /// Its engine answered with a server error.
    #[display("engine_failed")]
    EngineFailed,
    /// Engines refused it.
    #[display("no_room")]
    NoRoom,
}

impl RequestPhase {
    /// The phase while an attempt waits for its answer.
    pub(super) fn waiting(connection_use: Option<ConnectionUse>) -> Self {
        match connection_use {
            None => Self::Connecting,
            Some(ConnectionUse::Reused) => Self::SilentReused,
            Some(ConnectionUse::New) => Self::SilentNew,
        }
    }

    /// The phase after an attempt without a usable answer.
    pub(super) fn after(error: &AttemptError, connection_use: Option<ConnectionUse>) -> Self {
        match error {
            AttemptError::Silent(_) | AttemptError::Outdated(_) => Self::waiting(connection_use),
            AttemptError::NotConnected(_)
            | AttemptError::OutOfReach
            | AttemptError::Broken(_)
            | AttemptError::NoAnswer(_)
            | AttemptError::TunnelLost(_)
            | AttemptError::MayHaveRun(_) => Self::EngineGone,
            AttemptError::EngineError(_) => Self::EngineFailed,
            AttemptError::NoRoom(_) | AttemptError::Misdirected(_) => Self::NoRoom,
        }
    }
}
