//! Calls to the source of which any answer will do.

use std::future::pending;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

use super::SourceError;
use super::progress::Progress;

/// How often the time between calls doubles.
const MAX_DOUBLINGS: usize = 3;

/// Calls to the source of which any answer will do.
///
/// A call that is not answered in time may have got lost, so another one is made; its answer may
/// also only be late, and is taken whenever it comes. Without that, a node that the source answers
/// later than the limit never serves. Each further call waits twice as long for the next: when the
/// source is late because many nodes ask at once, asking again makes it later.
pub(super) struct Questions<T> {
    asked: FuturesUnordered<LocalBoxFuture<'static, Result<T, SourceError>>>,
    progress: Progress,
}

impl<T: 'static> Questions<T> {
    /// No call yet.
    pub(super) fn new() -> Self {
        Self {
            asked: FuturesUnordered::new(),
            progress: Progress::default(),
        }
    }

    /// Makes a call, which counts the parts of its answer in the given [`Progress`].
    pub(super) fn ask<F>(&mut self, call: impl FnOnce(Progress) -> F)
    where
        F: Future<Output = Result<T, SourceError>> + 'static,
    {
        self.asked.push(call(self.progress.clone()).boxed_local());
    }

    /// The next answer, to whichever call. `limit` is the time without any part of an answer after
    /// which the first call counts as unanswered.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<T, SourceError> {
        let further = self.asked.len().saturating_sub(1).min(MAX_DOUBLINGS);
        let limit = limit * 2_u32.pow(further as u32);
        loop {
            let before = self.progress.count();
            match timeout(limit, self.asked.next()).await {
                Ok(Some(answer)) => return answer,
                Err(_) if self.progress.count() > before => {}
                Ok(None) | Err(_) => return Err(SourceError::NoAnswer),
            }
        }
    }

    /// The next answer of a call that counted as unanswered; never resolves if there is none.
    pub(super) async fn late_answer(&mut self) -> Result<T, SourceError> {
        match self.asked.next().await {
            Some(answer) => answer,
            None => pending().await,
        }
    }
}
