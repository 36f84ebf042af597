//! When connections were last shown to have fallen silent.

use std::cell::Cell;

use ryerouter_core::Timestamp;

/// When connections were last shown to have fallen silent while new ones worked.
///
/// What makes one connection silent without a reset, such as a middle box that forgot its
/// connections, mostly does so to all at once. So every idle connection, to whatever address, that
/// was last heard from before that moment is suspect: opening another one costs about a round trip.
#[derive(Debug, Default)]
pub struct Silence {
    confirmed_at: Cell<Timestamp>,
}

impl Silence {
    /// A connection was silent while a newer one was answered, as is known now.
    pub fn confirm(&self, now: Timestamp) {
        self.confirmed_at.set(now);
    }

    /// Whether a connection that was last heard from then may have fallen silent since.
    pub fn is_suspect(&self, heard_at: Timestamp) -> bool {
        heard_at < self.confirmed_at.get()
    }
}
