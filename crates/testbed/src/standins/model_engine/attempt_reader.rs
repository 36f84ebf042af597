//! A connection that reads an attempt.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::runtime::Handle;

use super::attempt::Attempt;
use super::engine_core::EngineCore;

/// How long an engine goes on after the last reader of an attempt left.
pub const RESUME_WINDOW: Duration = Duration::from_secs(2);

/// A connection that reads an attempt, counted while it lives.
#[derive(Debug)]
pub struct AttemptReader {
    core: Arc<EngineCore>,
    attempt: Arc<Attempt>,
}

impl AttemptReader {
    /// Counts a reader.
    pub fn new(core: Arc<EngineCore>, attempt: Arc<Attempt>) -> Self {
        attempt.readers.fetch_add(1, Ordering::AcqRel);
        Self { core, attempt }
    }

    /// The attempt it reads.
    pub fn attempt(&self) -> &Arc<Attempt> {
        &self.attempt
    }
}

impl Drop for AttemptReader {
    fn drop(&mut self) {
        let others = self.attempt.readers.fetch_sub(1, Ordering::AcqRel) - 1;
        // While the runtime is torn down there is nobody left to resume.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if others > 0 {
            return;
        }
        let (core, attempt) = (Arc::clone(&self.core), Arc::clone(&self.attempt));
        runtime.spawn(async move {
            tokio::time::sleep(RESUME_WINDOW).await;
            if attempt.is_abandoned() {
                core.forget(attempt.id);
            }
        });
    }
}
