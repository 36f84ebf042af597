//! Where a request was held.

use derive_more::Display;

use super::attempt_end::AttemptEnd;
use crate::upstream::ConnectionUse;

/// Where a request was held last; see docs/design/accounting.md.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(super) enum HeldAt {
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

impl HeldAt {
    /// While an attempt waits for its answer.
    pub(super) fn waiting(used: Option<ConnectionUse>) -> Self {
        match used {
            None => Self::Connecting,
            Some(ConnectionUse::Kept) => Self::SilentKept,
            Some(ConnectionUse::New) => Self::SilentNew,
        }
    }

    /// After an attempt that ended without a usable answer.
    pub(super) fn after(end: &AttemptEnd, used: Option<ConnectionUse>) -> Self {
        match end {
            AttemptEnd::Silent(_) => Self::waiting(used),
            AttemptEnd::NotConnected(_) | AttemptEnd::Broken(_) | AttemptEnd::MayHaveRun(_) => {
                Self::EngineGone
            }
            AttemptEnd::EngineError(_) => Self::EngineFailed,
            AttemptEnd::NoRoom(_) | AttemptEnd::Misdirected(_) => Self::NoRoom,
        }
    }
}
