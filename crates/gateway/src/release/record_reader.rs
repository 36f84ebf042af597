//! Reading what is recorded of a release whose director is not heard.

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

use super::recorded_grant::{end_grant, unheard_grant, withdrawn_grant};
use super::{KnownOrder, Orders};
use crate::gateway::Gateway;
use crate::source::{OrderedRelease, ReleaseStore, SourceError};

/// Time between looks whether a grant has run out.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// First read after a grant has run out, in seconds: many nodes may miss their director at once.
const FIRST_READ_AFTER: Range<f64> = 0.0..1.0;
/// Time between reads, in seconds.
const READ_AGAIN_AFTER: Range<f64> = 1.0..1.5;

/// Reads what is recorded of a release whose director is not heard: an engine may have been stopped, or must
/// get nothing more, since the source was told so.
pub(super) struct RecordReader {
    pub(super) gateway: Rc<Gateway>,
    pub(super) store: Rc<dyn ReleaseStore>,
    pub(super) answer: Duration,
    pub(super) orders: Rc<RefCell<Orders>>,
    pub(super) next_reads: BTreeMap<PoolName, Timestamp>,
}

impl RecordReader {
    /// Reads whenever a grant has run out, until dropped.
    pub(super) async fn run(mut self) {
        loop {
            sleep(LOOK_INTERVAL).await;
            for grant in self.due() {
                self.read(&grant).await;
            }
        }
    }

    fn due(&mut self) -> Vec<Grant> {
        // A node that follows the orders knows their records.
        let is_following = self.orders.borrow().revision().is_some();
        let mut lapsed = match is_following {
            true => Vec::new(),
            false => self.gateway.lapsed_grants(),
        };
        self.next_reads
            .retain(|pool, _| lapsed.iter().any(|grant| grant.order.pool == *pool));
        let now = self.gateway.clock().now();
        lapsed.retain(|grant| {
            let next_read = self.next_reads.entry(grant.order.pool.clone());
            let at = next_read.or_insert_with(|| now.after(random(FIRST_READ_AFTER)));
            let is_due = *at <= now;
            if is_due {
                *at = now.after(random(READ_AGAIN_AFTER));
            }
            is_due
        });
        lapsed
    }

    async fn read(&self, grant: &Grant) {
        let read = timeout(self.answer, self.store.read(&grant.order.pool)).await;
        let log = self.gateway.log();
        let pool = &grant.order.pool;
        match read.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(release) => {
                let Some(found) = found(grant, release) else {
                    debug!(log, "release_record_read"; "pool" => %pool, "stage" => "open");
                    return;
                };
                info!(log, "release_record_read"; "pool" => %pool, "target" => &found.order.target,
                    "stage" => %found.stage, "before" => %grant.stage, "revision" => found.revision);
                self.gateway.take_recorded_grant(found);
            }
            Err(error) => {
                info!(log, "release_record_unread"; "pool" => %pool, "error" => %error);
            }
        }
    }
}

/// What the source's answer changes for a node whose grant has run out.
fn found(grant: &Grant, release: Option<OrderedRelease>) -> Option<Grant> {
    let Some(release) = release else {
        return Some(withdrawn_grant(grant));
    };
    let is_other = release.order != grant.order;
    let known = KnownOrder::new(release);
    let other = is_other.then(|| unheard_grant(&known.release));
    end_grant(&known).or(other)
}

fn random(seconds: Range<f64>) -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(seconds))
}
