//! Tells when a back end has been silent for too long.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Tells when a stream has been silent for too long, without touching a timer per chunk.
pub(super) struct SilenceTimer {
    limit: Duration,
    heard_at: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl SilenceTimer {
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            limit,
            heard_at: Instant::now(),
            sleep: None,
        }
    }

    pub(super) fn heard(&mut self) {
        self.heard_at = Instant::now();
    }

    /// When something was heard last.
    pub(super) fn heard_at(&self) -> std::time::Instant {
        self.heard_at.into_std()
    }

    /// Ready once nothing was heard for the limit.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let due = self.heard_at + self.limit;
            let sleep = self
                .sleep
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
            std::task::ready!(sleep.as_mut().poll(context));
            if Instant::now() >= due {
                return Poll::Ready(());
            }
            // Something was heard since the timer was set.
            sleep.as_mut().reset(due);
        }
    }
}
