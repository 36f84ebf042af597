//! Follows the release orders in the source.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::Orders;
use super::end_announcement::announce_ends;
use super::order_announcement::announce_orders;
use crate::gateway::Gateway;
use crate::source::{Backoff, FollowSettings, ReleaseBatch, ReleaseStore, SourceError};

/// Interval at which the node checks whether it should follow the orders, and which versions its engines run.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A node starts to follow the orders after it has been the candidate for this long without interruption. While
/// nodes are discovering each other, several may briefly consider themselves the candidate.
const START_DELAY: Duration = Duration::from_millis(500);
/// A node stops following the orders after it has not been the candidate for this long. One failed call to the source
/// changes the candidate only briefly and must not stop the node.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// First delay after a failure; doubles up to [`FollowSettings::longest_pause`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Minimum time between the starts of two watches. It limits the rate of calls when several records are written in a
/// row and each watch is answered at once.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum factor by which consecutive failures lengthen the timeout for an answer of the source, which may be
/// slow rather than unavailable.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Follows the orders while this node is the candidate for the order lease. One follower is enough, as orders
/// change only a few times a day.
pub(super) struct OrderFollower {
    gateway: Rc<Gateway>,
    store: Rc<dyn ReleaseStore>,
    settings: FollowSettings,
    orders: Rc<RefCell<Orders>>,
    /// Versions that engines ran at the last check.
    versions: BTreeSet<PoolVersion>,
    /// Number of consecutive failed calls to the source.
    failures: u32,
}

/// A version of software that engines of a pool run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PoolVersion {
    pool: PoolName,
    software: SoftwareVersion,
}

impl OrderFollower {
    /// Creates a follower, which does nothing until [`Self::run`] is called.
    pub(super) fn new(
        gateway: Rc<Gateway>,
        store: Rc<dyn ReleaseStore>,
        settings: FollowSettings,
        orders: Rc<RefCell<Orders>>,
    ) -> Self {
        Self {
            gateway,
            store,
            settings,
            orders,
            versions: BTreeSet::new(),
            failures: 0,
        }
    }

    /// Follows the orders whenever this node is the candidate, until the future is dropped.
    pub(super) async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            until_candidate(&gateway).await;
            info!(gateway.log(), "release_orders_followed"; "is_followed" => true);
            tokio::select! {
                () = self.follow() => {}
                () = until_not_candidate(&gateway) => {}
            }
            info!(gateway.log(), "release_orders_followed"; "is_followed" => false);
            self.orders.borrow_mut().clear();
            self.failures = 0;
            gateway.note_release_work(false);
        }
    }

    async fn follow(&mut self) {
        loop {
            self.list_until_done().await;
            self.watch_until_history_gone().await;
        }
    }

    async fn list_until_done(&mut self) {
        self.versions = self.listed_versions();
        loop {
            let store = Rc::clone(&self.store);
            let listed = timeout(self.answer_timeout(), store.list()).await;
            match listed.unwrap_or(Err(SourceError::NoAnswer)) {
                Ok(list) => {
                    self.note_answer();
                    info!(self.gateway.log(), "release_orders_read"; "revision" => list.revision,
                        "orders" => list.releases.len());
                    self.orders.borrow_mut().apply_list(list);
                    let orders = self.orders.borrow();
                    announce_orders(&self.gateway, &orders);
                    announce_ends(&self.gateway, &orders);
                    self.gateway.note_orders_known();
                    return;
                }
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    /// Watches the orders until the source no longer has the changes since the known revision, so that all orders must
    /// be listed again.
    async fn watch_until_history_gone(&mut self) {
        let mut is_immediate = false;
        loop {
            let wait = match is_immediate || self.failures > 0 {
                true => Duration::ZERO,
                false => self.settings.watch,
            };
            is_immediate = false;
            let revision = self.orders.borrow().revision().unwrap_or_default();
            let started_at = self.gateway.clock().now();
            let call_timeout = wait + self.answer_timeout();
            let store = Rc::clone(&self.store);
            let answer = tokio::select! {
                answer = timeout(call_timeout, store.watch(revision, wait)) => answer,
                // An operator orders a version before its engines start. If they run and the watch has not reported
                // the order, it may have lost its connection, so the next watch asks for an immediate answer.
                () = self.until_new_version(), if !wait.is_zero() => {
                    is_immediate = true;
                    continue;
                }
            };
            match answer.unwrap_or(Err(SourceError::NoAnswer)) {
                Ok(batch) if batch.revision >= revision => {
                    self.note_answer();
                    self.apply(batch);
                    self.wait_min_interval(started_at).await;
                }
                Ok(_) | Err(SourceError::HistoryGone) => {
                    info!(self.gateway.log(), "release_history_gone"; "revision" => revision);
                    return;
                }
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    fn apply(&self, batch: ReleaseBatch) {
        self.orders.borrow_mut().apply_batch(batch);
    }

    /// Resolves when engines run a version that is new in their pool and for which no order is known.
    async fn until_new_version(&mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let listed = self.listed_versions();
            let orders = Rc::clone(&self.orders);
            let orders = orders.borrow();
            let is_ordered = |version: &PoolVersion| {
                let known = orders.of(&version.pool);
                known.is_some_and(|known| known.release.order.target == version.software)
            };
            let mut unseen = listed.difference(&self.versions);
            let has_unordered = unseen.any(|version| !is_ordered(version));
            let was_empty = self.versions.is_empty();
            self.versions = listed;
            if has_unordered && !was_empty {
                return;
            }
        }
    }

    fn listed_versions(&self) -> BTreeSet<PoolVersion> {
        let state = self.gateway.state();
        let engines = state.engines.iter();
        let versions = engines.map(|engine| PoolVersion {
            pool: engine.entry.pool.clone(),
            software: engine.entry.software.clone(),
        });
        versions.collect()
    }

    async fn wait_min_interval(&self, started_at: Timestamp) {
        let taken = self.gateway.clock().now().since(started_at);
        sleep(MIN_WATCH_INTERVAL.saturating_sub(taken)).await;
    }

    fn answer_timeout(&self) -> Duration {
        self.settings.answer * (self.failures + 1).min(MAX_TIMEOUT_FACTOR)
    }

    fn note_answer(&mut self) {
        if self.failures > 0 {
            info!(self.gateway.log(), "release_orders_regained"; "failures" => self.failures);
        }
        self.failures = 0;
    }

    async fn pause_after(&mut self, error: &SourceError) {
        if self.failures == 0 {
            warn!(self.gateway.log(), "release_orders_lost"; "error" => %error);
        }
        self.failures += 1;
        let backoff = Backoff {
            first: MIN_BACKOFF,
            longest: self.settings.longest_pause,
        };
        sleep(backoff.pause_after(self.failures)).await;
    }
}

async fn until_candidate(gateway: &Gateway) {
    until_stable(gateway, START_DELAY, || {
        gateway.may_follow_orders() && gateway.knows_order_candidates()
    })
    .await;
}

async fn until_not_candidate(gateway: &Gateway) {
    until_stable(gateway, STOP_DELAY, || !gateway.may_follow_orders()).await;
}

/// Resolves when the condition has held at every check for `span`.
async fn until_stable(gateway: &Gateway, span: Duration, holds: impl Fn() -> bool) {
    let mut since = None;
    loop {
        let now = gateway.clock().now();
        since = holds().then(|| since.unwrap_or(now));
        if since.is_some_and(|since| now.since(since) >= span) {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
