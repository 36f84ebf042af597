//! Following the source.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{CatalogueSource, Item, ItemKind, SourceError};
use crate::gateway::Gateway;

/// First wait after a failure; doubles up to [`FollowSettings::longest_pause`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// How a kind of item is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowSettings {
    /// Longest time that a watch stays open.
    pub watch: Duration,
    /// Time for an answer on top of that.
    pub answer: Duration,
    /// Longest wait after a failure.
    pub longest_pause: Duration,
}

/// Lists and then watches all items of a kind, and tells the gateway, until dropped.
pub async fn follow(
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
    settings: FollowSettings,
) {
    let mut follower = Follower {
        gateway,
        source,
        kind,
        settings,
        failures: 0,
        revision: 0,
    };
    loop {
        follower.list_until_done().await;
        follower.watch_until_history_gone().await;
    }
}

struct Follower {
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
    settings: FollowSettings,
    failures: u32,
    revision: u64,
}

impl Follower {
    async fn list_until_done(&mut self) {
        loop {
            let asked_at = self.gateway.clock().now();
            match self.list_all().await {
                Ok((items, revision)) if revision >= self.revision => {
                    self.note_answer();
                    self.revision = revision;
                    self.note_revision();
                    self.gateway.replace_items(self.kind, items, asked_at);
                    return;
                }
                // A stale list tells nothing.
                Ok(_) => self.pause_after(&SourceError::HistoryGone).await,
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    async fn list_all(&self) -> Result<(Vec<Item>, u64), SourceError> {
        let mut items = Vec::new();
        let mut after: Option<String> = None;
        let mut first_revision = None;
        loop {
            let call = self.source.list(self.kind, after.as_deref());
            let page = timeout(self.settings.answer, call)
                .await
                .map_err(|_| no_answer())??;
            items.extend(page.items);
            // Changes after the first page may be missing from it, so the watch begins there.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.next_after {
                Some(next) => after = Some(next),
                None => return Ok((items, revision)),
            }
        }
    }

    async fn watch_until_history_gone(&mut self) {
        loop {
            let asked_at = self.gateway.clock().now();
            // After a failure the answer is wanted at once: it tells that nothing was missed.
            let wait = match self.failures {
                0 => self.settings.watch,
                _ => Duration::ZERO,
            };
            let call = self.source.watch(self.kind, self.revision, wait);
            let limit = wait + self.settings.answer;
            let answer = timeout(limit, call)
                .await
                .unwrap_or_else(|_| Err(no_answer()));
            match answer {
                Ok(batch) if batch.revision >= self.revision => {
                    self.note_answer();
                    self.revision = batch.revision;
                    self.note_revision();
                    self.gateway
                        .change_items(self.kind, batch.changes, asked_at);
                }
                Ok(_) | Err(SourceError::HistoryGone) => {
                    info!(self.gateway.log(), "source_history_gone"; "kind" => %self.kind,
                        "revision" => self.revision);
                    return;
                }
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    fn note_revision(&self) {
        if self.kind == ItemKind::Configuration {
            let mut state = self.gateway.state_mut();
            state.configuration_revision = Some(self.revision);
        }
    }

    fn note_answer(&mut self) {
        if self.failures > 0 {
            info!(self.gateway.log(), "source_regained"; "kind" => %self.kind,
                "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn pause_after(&mut self, error: &SourceError) {
        if self.failures == 0 {
            warn!(self.gateway.log(), "source_lost"; "kind" => %self.kind, "error" => %error);
        }
        let doublings = self.failures.min(6);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(self.settings.longest_pause);
        self.failures += 1;
        self.gateway.note_source_trouble(self.kind, self.failures);
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

fn no_answer() -> SourceError {
    SourceError::Unavailable {
        detail: "no answer in time".to_owned(),
    }
}
