//! Result of the selection of an engine for a request.

use std::time::Duration;

use crate::catalog::BackEnd;
use crate::placement::EngineKey;
use crate::timestamp::Timestamp;

use super::attempt_record::Expectation;
use super::{KvExport, KvImport};

/// The engine chosen for a request.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) engine: EngineKey,
    pub(super) back_end: BackEnd,
    pub(super) is_probe: bool,
    /// Estimated time to the first token.
    pub(super) first_token_in: Duration,
    pub(super) kv_import: Option<KvImport>,
    pub(super) kv_export: Option<KvExport>,
    pub(super) expectation: Expectation,
}

/// Why no engine could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoChoice {
    /// Engines are serving, but none has room.
    NoRoom {
        /// Estimated time to first token on the fastest of these engines if it had room.
        first_token_in: Duration,
    },
    /// Engines exist, but none is serving; the first one may be tried again at `until`.
    Unavailable { until: Timestamp },
    /// No engine is left that could serve the request.
    NoEngine,
}

impl NoChoice {
    /// Combines the results of two groups of engines, keeping the one that allows an earlier retry.
    pub(super) fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::NoRoom { .. }, _) => self,
            (_, Self::NoRoom { .. }) => other,
            (Self::Unavailable { until }, Self::Unavailable { until: later }) => {
                Self::Unavailable {
                    until: until.min(later),
                }
            }
            (Self::Unavailable { .. }, Self::NoEngine) => self,
            (Self::NoEngine, _) => other,
        }
    }
}
