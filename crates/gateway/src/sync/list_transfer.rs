//! The list of engines, handed on by another node in pieces.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use super::EntryGroup;
use crate::engines::EngineEntry;
use crate::peers::NodeIdentity;
use crate::peers::readable::{readable, readable_or_default};
use crate::source::Revision;

/// A piece that has not come after so long is asked for again: nodes answer within milliseconds, and a small one
/// that many ask within some hundred.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// After so many pieces in a row that did not come another node is asked.
const MOST_UNANSWERED: u32 = 2;

/// Asks another node for the next piece of its list of engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListFetch {
    /// The piece begins after the entry of this name.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<BackEndName>,
    /// Whether the sender accepts pieces of a list that the other node does not have as a whole.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_partial: bool,
    /// A node that comes before the receiver in reading order. A receiver that knows none would take
    /// itself for the first of all nodes, which reads the list for the others.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "readable_or_default")]
    pub before: Option<NodeIdentity>,
}

/// A piece of the list of engines: all whose names lie between two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPiece {
    /// Where it begins, as it was asked for.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<BackEndName>,
    /// Revision of the sender's list. The list may change between pieces, so the oldest one counts for all: what
    /// changed after it is caught up with.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Era of the source that it belongs to; `None` from builds that know no eras.
    #[serde(rename = "E", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// The entries.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    pub groups: Vec<EntryGroup>,
    /// Entries that can't be read, told with the first piece.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unusable: Vec<BackEndName>,
    /// Where the next piece begins, if there is one.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<BackEndName>,
    /// The sender has no entries after `after` yet.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_waiting: bool,
}

/// A list that has come as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeList {
    /// Its entries.
    pub entries: Vec<EngineEntry>,
    /// Entries that can't be read.
    pub unusable: Vec<BackEndName>,
    /// Revision that it shows at least.
    pub revision: Revision,
}

/// The pieces that have come so far.
#[derive(Debug, Default)]
pub struct ListTransfer {
    holder: Option<SocketAddr>,
    asked_at: Option<Timestamp>,
    unanswered: u32,
    after: Option<BackEndName>,
    revision: Option<Revision>,
    entries: Vec<EngineEntry>,
    unusable: Vec<BackEndName>,
}

impl ListTransfer {
    /// The next question and whom to ask, unless an answer is awaited. `draw` names a node that has the list.
    pub fn next(
        &mut self,
        now: Timestamp,
        draw: impl FnOnce() -> Option<SocketAddr>,
    ) -> Option<(SocketAddr, ListFetch)> {
        if let Some(asked_at) = self.asked_at {
            if now.since(asked_at) < ANSWER_LIMIT {
                return None;
            }
            self.unanswered += 1;
        }
        if self.unanswered >= MOST_UNANSWERED {
            self.holder = None;
            self.unanswered = 0;
        }
        let holder = self.holder.or_else(draw)?;
        self.holder = Some(holder);
        self.asked_at = Some(now);
        let after = self.after.clone();
        let fetch = ListFetch {
            after,
            accepts_partial: false,
            before: None,
        };
        Some((holder, fetch))
    }

    /// Takes a piece; the list once it is whole. Pieces out of their order, or of another node, are passed over.
    /// `revision` is the piece's, with its era.
    pub fn take(
        &mut self,
        from: SocketAddr,
        piece: ListPiece,
        revision: Revision,
    ) -> Option<WholeList> {
        let is_awaited = self.holder == Some(from) && self.asked_at.is_some();
        if !is_awaited || piece.after != self.after {
            return None;
        }
        self.asked_at = None;
        self.unanswered = 0;
        // The lists of two nodes, and of one at different times, differ; changes after the oldest
        // revision are caught up with.
        let revision = self.revision.map_or(revision, |known| known.min(revision));
        self.revision = Some(revision);
        let entries = piece.groups.into_iter();
        self.entries
            .extend(entries.flat_map(EntryGroup::into_entries));
        self.unusable.extend(piece.unusable);
        self.after = piece.next;
        if self.after.is_some() {
            return None;
        }
        let whole = std::mem::take(self);
        Some(WholeList {
            entries: whole.entries,
            unusable: whole.unusable,
            revision,
        })
    }

    /// The list came in another way.
    pub fn stop(&mut self) {
        if self.holder.is_some() {
            *self = Self::default();
        }
    }
}
