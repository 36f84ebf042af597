//! How far sending a request has come.

use std::cell::Cell;

use ryerouter_core::Timestamp;

/// On what connection a request was sent, known while its answer is awaited.
///
/// Whoever waits for a sign of life can tell a kept connection, which may have fallen silent, from a
/// new one.
#[derive(Debug, Default)]
pub struct SendProgress {
    sent: Cell<Option<(Timestamp, bool)>>,
}

impl SendProgress {
    pub(super) fn note_sent(&self, now: Timestamp, is_kept: bool) {
        self.sent.set(Some((now, is_kept)));
    }

    /// When it was handed to a connection.
    pub fn sent_at(&self) -> Option<Timestamp> {
        self.sent.get().map(|(sent_at, _)| sent_at)
    }

    /// Whether that connection was a kept one.
    pub fn is_kept(&self) -> bool {
        self.sent.get().is_some_and(|(_, is_kept)| is_kept)
    }
}
