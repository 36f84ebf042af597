//! Keeping the records of requests that are held back.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::source::{Backoff, Consistency, PoisonStore, RecordWrite, SourceError};

/// Longest time for an answer; the store answers within milliseconds, when it is slow within some hundred.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Waits after a call that failed.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(200),
    longest: Duration::from_millis(2_400),
};

/// Reads the records at the start, and writes what this node finds out, until dropped.
///
/// Nodes keep nothing, and all of them may be killed at once. What was proven by engines that ended would have to be
/// proven again by as many, each time.
pub fn keep_records(gateway: Rc<Gateway>, store: Rc<dyn PoisonStore>) -> impl Future<Output = ()> {
    gateway.expect_poison_records();
    async move {
        tokio::join!(
            read_records(&gateway, store.as_ref()),
            write_records(&gateway, store.as_ref())
        );
    }
}

/// All nodes may start at once, so the first reading is a stale one, which costs the store little. What was recorded in the
/// last seconds before that is read when engines end under a request.
async fn read_records(gateway: &Gateway, store: &dyn PoisonStore) {
    read_until_done(gateway, store, Consistency::Stale).await;
    while !gateway.wants_current_records() {
        gateway.poison_records_wanted.notified().await;
    }
    read_until_done(gateway, store, Consistency::Linearizable).await;
}

async fn read_until_done(gateway: &Gateway, store: &dyn PoisonStore, consistency: Consistency) {
    let mut failures = 0;
    loop {
        let listed = timeout(ANSWER_LIMIT, store.list(consistency)).await;
        match listed.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(records) => return gateway.apply_poison_records(records, consistency),
            Err(error) => {
                failures += 1;
                info!(gateway.log(), "poison_records_unread"; "failures" => failures,
                    "is_stale" => consistency == Consistency::Stale, "error" => %error);
                sleep(BACKOFF.pause_after(failures)).await;
            }
        }
    }
}

async fn write_records(gateway: &Gateway, store: &dyn PoisonStore) {
    let mut failures = 0;
    loop {
        remove_outdated(gateway, store).await;
        let (record, revision) = match gateway.next_poison_record() {
            Ok(next) => next,
            Err(due_at) => {
                let due = gateway.poison_records_due.notified();
                match due_at {
                    Some(at) => drop(gateway.clock().until(at, due).await),
                    None => due.await,
                }
                continue;
            }
        };
        let digest = record.digest();
        let written = timeout(ANSWER_LIMIT, store.write(&record, revision)).await;
        match written.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(RecordWrite::Written(revision)) => {
                failures = 0;
                gateway.note_poison_written(&record, revision);
            }
            Ok(RecordWrite::Conflict(stored)) => gateway.note_poison_conflict(digest, stored),
            Err(error @ SourceError::Unreadable { .. }) => {
                // Another try would meet the same.
                warn!(gateway.log(), "poison_record_unreadable"; "digest" => %digest,
                    "revision" => revision, "error" => %error);
                gateway.note_poison_unwritten(digest, revision, None);
            }
            Err(error) => {
                failures += 1;
                warn!(gateway.log(), "poison_unrecorded"; "digest" => %digest,
                    "revision" => revision, "failures" => failures, "error" => %error);
                let pause = BACKOFF.pause_after(failures);
                let again_at = gateway.clock().now().after(pause);
                gateway.note_poison_unwritten(digest, revision, Some(again_at));
                sleep(pause).await;
            }
        }
    }
}

/// One that is not removed is found by a node that starts later.
async fn remove_outdated(gateway: &Gateway, store: &dyn PoisonStore) {
    loop {
        let outdated = gateway.state_mut().poison_records.take_outdated();
        let Some((digest, revision)) = outdated else {
            return;
        };
        let removed = timeout(ANSWER_LIMIT, store.remove(digest, revision)).await;
        let removed = removed.unwrap_or(Err(SourceError::NoAnswer));
        info!(gateway.log(), "poison_record_removed"; "digest" => %digest, "revision" => revision,
            "error" => removed.err().map(|error| error.to_string()));
    }
}
