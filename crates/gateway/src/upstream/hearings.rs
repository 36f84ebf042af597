//! Until when connections that are as old as another one are known to have carried answers.

use std::cell::RefCell;

use ryerouter_core::Timestamp;

/// Until when connections that are as old as another one are known to have carried answers.
///
/// An idle connection tells nothing. But what makes connections silent without a reset mostly does so
/// to all that are open at one moment, so an answer on any connection that was open before speaks
/// for it. One that was opened later says nothing: new ones work.
#[derive(Debug, Default)]
pub(super) struct Hearings {
    /// When a connection was opened and when it was heard from: of two that were heard from, the
    /// one that is younger and was heard from earlier tells nothing more, so both rise.
    heard: RefCell<Vec<(Timestamp, Timestamp)>>,
}

impl Hearings {
    /// A connection was heard from just now.
    pub(super) fn note(&self, opened_at: Timestamp, now: Timestamp) {
        let mut heard = self.heard.borrow_mut();
        while heard.last().is_some_and(|(opened, _)| *opened >= opened_at) {
            heard.pop();
        }
        heard.push((opened_at, now));
    }

    /// When a connection that was open at `moment` was last heard from.
    pub(super) fn last_of_open_at(&self, moment: Timestamp) -> Option<Timestamp> {
        let heard = self.heard.borrow();
        let older = heard.partition_point(|(opened, _)| *opened <= moment);
        let (_, heard_at) = heard.get(older.checked_sub(1)?)?;
        Some(*heard_at)
    }

    /// Forgets what was heard before `moment`.
    pub(super) fn forget_before(&self, moment: Timestamp) {
        self.heard
            .borrow_mut()
            .retain(|(_, heard)| *heard >= moment);
    }
}
