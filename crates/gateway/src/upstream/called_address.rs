//! What is known of an address that calls go to.

use ryerouter_core::Timestamp;
use tokio::sync::watch;

use super::{AnswerTimes, Connection};

/// Idle connections to one address that are kept.
const MOST_IDLE: usize = 4;

/// A kept connection has left a call without an answer in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    /// When the latest such call was sent.
    pub(super) since: Timestamp,
    /// Whether the server answers such calls always, so that the connection must be the cause. An
    /// order may be left without an answer on purpose.
    pub(super) is_certain: bool,
}

/// What is known of an address that calls go to.
#[derive(Debug)]
pub(super) struct CalledAddress {
    pub(super) idle: Vec<Connection>,
    pub(super) times: AnswerTimes,
    /// Until a newer connection confirms it, or the answer comes after all.
    pub(super) suspected: Option<Suspicion>,
    /// Connections that were last heard from before this are silent; calls under way look at it.
    pub(super) silent_since: watch::Sender<Timestamp>,
}

impl Default for CalledAddress {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            times: AnswerTimes::default(),
            suspected: None,
            silent_since: watch::Sender::new(Timestamp::ZERO),
        }
    }
}

impl CalledAddress {
    pub(super) fn keep(&mut self, connection: Connection) {
        if self.idle.len() < MOST_IDLE {
            self.idle.push(connection);
        }
    }

    /// Closes idle connections that were not heard from since then, and tells how many.
    pub(super) fn close_unheard_since(&mut self, since: Timestamp) -> usize {
        let before = self.idle.len();
        self.idle
            .retain(|connection| connection.heard_at.get() >= since);
        before - self.idle.len()
    }
}
