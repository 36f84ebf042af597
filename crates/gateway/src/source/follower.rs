//! Following the source.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{CatalogueSource, Item, ItemKind, SourceError};
use crate::gateway::{Gateway, Role};

/// First wait after a failure; doubles up to [`FollowSettings::longest_pause`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// A reader of a zone makes its watches at least so far apart, so that many changes in a row cost
/// few calls.
const LEAST_SPACING: Duration = Duration::from_millis(250);
/// Time between looks whether the source must be asked.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// A reader's watches last this share of the time within which changes must be in force. Its proof
/// is up to two watches old, and then that of the others by one question more.
const READER_WATCH_SHARE: f64 = 0.25;
/// A node that relies on a reader asks the source when its copy is older than a share of that time
/// drawn between these two, so that not all nodes do so at once.
const PATIENCE_SHARES: Range<f64> = 0.7..0.8;
/// Named weights may be used much later than that, so they are proven this much less often.
const WEIGHTS_LENIENCE: f64 = 2.0;

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
        asked_at: None,
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
    /// When the last watch began.
    asked_at: Option<Timestamp>,
}

impl Follower {
    async fn list_until_done(&mut self) {
        loop {
            let asked_at = self.gateway.clock().now();
            match self.list_all().await {
                Ok((items, revision)) if self.revision() <= Some(revision) => {
                    self.note_answer();
                    self.gateway.take_list(self.kind, items, revision, asked_at);
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
            let wait = self.wait_until_needed().await;
            let asked_at = self.gateway.clock().now();
            self.asked_at = Some(asked_at);
            let revision = self.revision().unwrap_or_default();
            let call = self.source.watch(self.kind, revision, wait);
            let limit = wait + self.settings.answer;
            let answer = tokio::select! {
                answer = timeout(limit, call) => answer.unwrap_or_else(|_| Err(no_answer())),
                // Such a watch may stay open for long, and proves nothing before its end.
                () = self.has_grown_large(), if wait == self.settings.watch => continue,
            };
            match answer {
                Ok(batch) if batch.revision >= revision => {
                    self.note_answer();
                    self.gateway.take_batch(self.kind, batch, Some(asked_at));
                }
                Ok(_) | Err(SourceError::HistoryGone) => {
                    info!(self.gateway.log(), "source_history_gone"; "kind" => %self.kind,
                        "revision" => revision);
                    return;
                }
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    /// Waits until this node should ask the source; tells how long the watch may then last.
    async fn wait_until_needed(&self) -> Duration {
        let bound = self.gateway.settings().catalogue_bound;
        let bound = match self.kind {
            ItemKind::Weights => bound.mul_f64(WEIGHTS_LENIENCE),
            ItemKind::Configuration | ItemKind::Engines => bound,
        };
        let patience = bound.mul_f64(rand::rng().random_range(PATIENCE_SHARES));
        loop {
            match self.gateway.role() {
                Role::Relies if self.is_current(patience) => sleep(LOOK_INTERVAL).await,
                Role::Relies => return Duration::ZERO,
                // After a failure the answer is wanted at once: it tells that nothing was missed.
                Role::Watches | Role::Reads if self.failures > 0 => return Duration::ZERO,
                Role::Watches => return self.settings.watch,
                Role::Reads if self.asked_within(LEAST_SPACING) => sleep(LOOK_INTERVAL).await,
                Role::Reads => return bound.mul_f64(READER_WATCH_SHARE),
            }
        }
    }

    /// Resolves when this node is not to watch the source as one of few nodes any more.
    async fn has_grown_large(&self) {
        while self.gateway.role() == Role::Watches {
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn is_current(&self, patience: Duration) -> bool {
        let now = self.gateway.clock().now();
        let state = self.gateway.state();
        let replica = state.replicas.of(self.kind);
        !replica.is_behind && replica.freshness.is_within(patience, now)
    }

    fn asked_within(&self, span: Duration) -> bool {
        let now = self.gateway.clock().now();
        self.asked_at.is_some_and(|at| now.since(at) < span)
    }

    fn revision(&self) -> Option<u64> {
        self.gateway.state().replicas.of(self.kind).revision
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
