//! Reads the records of releases whose director sends no grants.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::Grant;
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use super::end_announcement::announce_ends;
use super::order_announcement::announce_orders;
use super::recorded_grant::{final_grant, initial_grant, withdrawn_grant};
use super::{KnownOrder, Orders};
use crate::gateway::Gateway;
use crate::source::{OrderedRelease, ReleaseStore, SourceError};

/// Interval at which expired grants are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a node that lacks the orders reads them all for the first time, in seconds. Most nodes receive the
/// orders from other nodes within this time.
const FIRST_LIST_DELAY: Range<f64> = 0.2..0.8;
/// Delay before the first read after a grant has expired, in seconds; random because many nodes may lose their
/// director at once.
const FIRST_READ_DELAY: Range<f64> = 0.0..1.0;
/// Delay between reads, in seconds.
const RETRY_DELAY: Range<f64> = 1.0..1.5;

/// Reads the record of a release whose director sends no grants. The release may have ended without this node's
/// knowledge: after a completion the operator may stop the present engines, and after a rollback the target
/// version must get no more requests. A node that was just started and lists engines of several versions before it
/// has received any orders reads all orders: the ages of the engines don't show which version is under trial if the
/// present engines have been replaced since the trial began.
pub(super) struct RecordReader {
    pub(super) gateway: Rc<Gateway>,
    pub(super) store: Rc<dyn ReleaseStore>,
    pub(super) answer_timeout: Duration,
    pub(super) orders: Rc<RefCell<Orders>>,
    /// When the order of each pool whose grant has expired is to be read next.
    pub(super) next_reads: BTreeMap<PoolName, Timestamp>,
    /// When all orders are to be read next; `None` if this node does not lack them.
    pub(super) next_list: Option<Timestamp>,
}

impl RecordReader {
    /// Reads records whenever grants have expired, until the future is dropped.
    pub(super) async fn run(mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            if self.should_read_all() {
                self.read_all().await;
            }
            for grant in self.due_grants() {
                self.read(&grant).await;
            }
        }
    }

    fn should_read_all(&mut self) -> bool {
        if !self.gateway.lacks_orders() {
            self.next_list = None;
            return false;
        }
        let now = self.gateway.clock().now();
        let at = self
            .next_list
            .get_or_insert_with(|| now.after(random_delay(FIRST_LIST_DELAY)));
        let is_due = *at <= now;
        if is_due {
            *at = now.after(random_delay(RETRY_DELAY));
        }
        is_due
    }

    async fn read_all(&self) {
        let listed = timeout(self.answer_timeout, self.store.list()).await;
        let log = self.gateway.log();
        match listed.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(list) => {
                info!(log, "release_orders_read"; "revision" => list.revision,
                    "orders" => list.releases.len());
                let mut orders = Orders::default();
                orders.apply_list(list);
                announce_orders(&self.gateway, &orders);
                announce_ends(&self.gateway, &orders);
                self.gateway.note_orders_known();
            }
            Err(error) => info!(log, "release_orders_unread"; "error" => %error),
        }
    }

    fn due_grants(&mut self) -> Vec<Grant> {
        // A node that follows the orders already knows their records.
        let is_following = self.orders.borrow().revision().is_some();
        let mut expired = match is_following {
            true => Vec::new(),
            false => self.gateway.expired_grants(),
        };
        self.next_reads
            .retain(|pool, _| expired.iter().any(|grant| grant.order.pool == *pool));
        let now = self.gateway.clock().now();
        expired.retain(|grant| {
            let next_read = self.next_reads.entry(grant.order.pool.clone());
            let at = next_read.or_insert_with(|| now.after(random_delay(FIRST_READ_DELAY)));
            let is_due = *at <= now;
            if is_due {
                *at = now.after(random_delay(RETRY_DELAY));
            }
            is_due
        });
        expired
    }

    async fn read(&self, grant: &Grant) {
        let read = timeout(self.answer_timeout, self.store.read(&grant.order.pool)).await;
        let log = self.gateway.log();
        let pool = &grant.order.pool;
        match read.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(release) => {
                let Some(changed) = changed_grant(grant, release) else {
                    debug!(log, "release_record_read"; "pool" => %pool, "stage" => "open");
                    return;
                };
                info!(log, "release_record_read"; "pool" => %pool, "target" => &changed.order.target,
                    "stage" => %changed.stage, "before" => %grant.stage, "revision" => changed.revision);
                self.gateway.apply_recorded_grant(changed);
            }
            Err(error) => {
                info!(log, "release_record_unread"; "pool" => %pool, "error" => %error);
            }
        }
    }
}

/// The grant that follows from the source's answer for a node whose grant has expired; `None` if nothing changes.
fn changed_grant(grant: &Grant, release: Option<OrderedRelease>) -> Option<Grant> {
    let Some(release) = release else {
        return Some(withdrawn_grant(grant));
    };
    let is_other = release.order != grant.order;
    let known = KnownOrder::new(release);
    let other = is_other.then(|| initial_grant(&known.release, true));
    final_grant(&known).or(other)
}

fn random_delay(seconds: Range<f64>) -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(seconds))
}
