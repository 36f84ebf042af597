//! The first list of engines of a node, taken in piece by piece.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

use super::{HolderPreference, ListFetch};
use crate::peers::NodeIdentity;
use crate::source::Revision;

/// Time for another node's answer: some milliseconds, or some hundred from a small node that many
/// ask.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Pause after an answer with nothing or little; doubles with each further one, up to the maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(90);
const MAX_PAUSE: Duration = Duration::from_millis(360);
/// After this number of requests in a row that brought nothing, nodes other than the parent are
/// asked too.
const MAX_FRUITLESS: u32 = 3;

/// Progress of a node's first list of engines.
///
/// The list is taken in by name, from its beginning, in pages of the source and in pieces of other
/// nodes, whichever come; see docs/design/first-list.md. Meanwhile the node follows the changes of
/// all engines, so that the entries that it has are as current as those of a whole list.
#[derive(Debug, Default)]
pub struct ListFill {
    after: Option<BackEndName>,
    base: Option<Revision>,
    changed: HashMap<BackEndName, Revision>,
    begun_at: Option<Timestamp>,
    handed_at: Option<Timestamp>,
    holder: Option<SocketAddr>,
    asked_at: Option<Timestamp>,
    fruitless: u32,
    /// Number of answers in a row that were not full.
    partial: u32,
    paused_until: Option<Timestamp>,
    predecessor: Option<NodeIdentity>,
    pages: usize,
    pieces: usize,
}

impl ListFill {
    /// Entries up to this name have been taken in; `None` if there are none yet.
    pub fn after(&self) -> Option<&BackEndName> {
        self.after.as_ref()
    }

    /// The revision after which every change of the list has been followed; `None` until the first
    /// entries have been taken in.
    pub fn base(&self) -> Option<Revision> {
        self.base
    }

    /// Number of pages that this node has read from the source.
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// Number of pieces that other nodes have handed on.
    pub fn pieces(&self) -> usize {
        self.pieces
    }

    /// Number of requests in a row that brought nothing.
    pub fn fruitless(&self) -> u32 {
        self.fruitless
    }

    /// The node that has not answered the last request yet, and when it was asked.
    pub fn awaited(&self) -> Option<(SocketAddr, Timestamp)> {
        self.holder.zip(self.asked_at)
    }

    /// A node that comes before this one in reading order, as another node told.
    pub fn predecessor(&self) -> Option<&NodeIdentity> {
        self.predecessor.as_ref()
    }

    /// Records that another node told of one that comes before this node in reading order.
    pub fn note_predecessor(&mut self, predecessor: NodeIdentity) {
        self.predecessor.get_or_insert(predecessor);
    }

    /// When the first entries were taken in.
    pub fn begun_at(&self) -> Option<Timestamp> {
        self.begun_at
    }

    /// Starts to follow changes at `revision`.
    pub fn begin(&mut self, revision: Revision, now: Timestamp) {
        self.base = Some(revision);
        self.begun_at.get_or_insert(now);
    }

    /// Records a followed change of an entry.
    pub fn note_change(&mut self, name: BackEndName, revision: Revision) {
        self.changed.insert(name, revision);
    }

    /// Whether a followed change is newer than the entry in a slice of this revision.
    pub fn is_superseded(&self, name: &BackEndName, revision: Revision) -> bool {
        self.changed.get(name).is_some_and(|at| *at > revision)
    }

    /// Records that all entries up to `next` have been taken in.
    pub fn advance(&mut self, next: BackEndName) {
        self.after = Some(next);
    }

    /// Counts a page that this node has read from the source.
    pub fn count_page(&mut self) {
        self.pages += 1;
    }

    /// Whether no other node has handed anything on for `patience`.
    pub fn is_stalled(&self, patience: Duration, now: Timestamp) -> bool {
        let progressed_at = self.handed_at.or(self.begun_at);
        progressed_at.is_some_and(|at| now.since(at) >= patience)
    }

    /// Gives up a request that has not been answered for long; returns the node that was asked.
    pub fn take_unanswered(&mut self, now: Timestamp) -> Option<SocketAddr> {
        let (holder, asked_at) = self.awaited()?;
        if now.since(asked_at) < ANSWER_LIMIT {
            return None;
        }
        self.predecessor
            .take_if(|known| known.peer_address == holder);
        self.note_fruitless();
        Some(holder)
    }

    /// Whether a request is due: no answer is awaited, and the last request was not in vain just now.
    pub fn is_fetch_due(&self, now: Timestamp) -> bool {
        self.asked_at.is_none() && self.paused_until.is_none_or(|until| until <= now)
    }

    /// The node that handed the last piece on, which is asked for the next one too.
    pub fn holder(&self) -> Option<SocketAddr> {
        self.holder
    }

    /// Which node to ask next, if no holder is known.
    pub fn preference(&self) -> HolderPreference {
        match self.fruitless.checked_sub(MAX_FRUITLESS) {
            None => HolderPreference::Parent,
            Some(further) => match further % 3 {
                0 => HolderPreference::Near,
                1 => HolderPreference::Any,
                _ => HolderPreference::Parent,
            },
        }
    }

    /// Creates the next request, for `holder`; `before` is a node that comes before it in reading
    /// order.
    pub fn fetch_from(
        &mut self,
        holder: SocketAddr,
        before: Option<NodeIdentity>,
        now: Timestamp,
    ) -> ListFetch {
        self.holder = Some(holder);
        self.asked_at = Some(now);
        ListFetch {
            after: self.after.clone(),
            accepts_partial: true,
            before,
        }
    }

    /// Whether a piece that begins after `after` answers the last request.
    pub fn is_awaited(&self, from: SocketAddr, after: Option<&BackEndName>) -> bool {
        self.holder == Some(from) && self.asked_at.is_some() && self.after.as_ref() == after
    }

    /// Records that the asked node has nothing beyond what this node has.
    pub fn note_waiting(&mut self, now: Timestamp) {
        self.pause(now);
        self.note_fruitless();
    }

    fn pause(&mut self, now: Timestamp) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.partial);
        self.partial += 1;
        self.paused_until = Some(now.after(pause.min(MAX_PAUSE)));
    }

    fn note_fruitless(&mut self) {
        self.fruitless += 1;
        self.holder = None;
        self.asked_at = None;
    }

    /// Records that another node has handed a piece on; `is_full` if it may have more entries.
    pub fn note_handed(&mut self, is_full: bool, now: Timestamp) {
        match is_full {
            true => self.partial = 0,
            false => self.pause(now),
        }
        self.pieces += 1;
        self.fruitless = 0;
        self.asked_at = None;
        self.handed_at = Some(now);
    }
}
