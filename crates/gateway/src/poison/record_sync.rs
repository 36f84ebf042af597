//! Reads stored crash histories, and writes new ones to the store.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::source::{Backoff, Consistency, PoisonStore, RecordWrite, SourceError};

/// Timeout of a call to the store, which answers within milliseconds, or within some hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum factor by which consecutive failures lengthen that timeout when the records are read: the store may be slow
/// rather than unavailable.
const MAX_TIMEOUT_FACTOR: u32 = 4;
/// Pauses after failed calls.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(200),
    longest: Duration::from_millis(2_400),
};

/// Reads the records at startup and writes what this node finds out, until dropped.
///
/// Nodes have no storage of their own, and all of them may be killed at once. Without the records, the same number of
/// engines would have to crash again after each such restart before a request is blocked.
pub fn sync_records(gateway: Rc<Gateway>, store: Rc<dyn PoisonStore>) -> impl Future<Output = ()> {
    gateway.expect_poison_records();
    async move {
        tokio::join!(
            read_records(&gateway, store.as_ref()),
            write_records(&gateway, store.as_ref())
        );
    }
}

/// Reads the records once from a stale copy, and again linearizably when a request needs them.
///
/// All nodes may start at the same time, so the first read is a stale one, which costs the store little. Records of the
/// last seconds before it are read when engines crash under a request.
async fn read_records(gateway: &Gateway, store: &dyn PoisonStore) {
    read_until_done(gateway, store, Consistency::Stale).await;
    while !gateway.wants_current_records() {
        gateway.poison_records_requested.notified().await;
    }
    read_until_done(gateway, store, Consistency::Linearizable).await;
}

async fn read_until_done(gateway: &Gateway, store: &dyn PoisonStore, consistency: Consistency) {
    let mut failures = 0;
    loop {
        let limit = STORE_TIMEOUT * (failures + 1).min(MAX_TIMEOUT_FACTOR);
        let listed = timeout(limit, store.list(consistency)).await;
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
        remove_records(gateway, store).await;
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
        let written = timeout(STORE_TIMEOUT, store.write(&record, revision)).await;
        match written.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(RecordWrite::Written(revision)) => {
                failures = 0;
                gateway.note_poison_written(&record, revision);
            }
            Ok(RecordWrite::Conflict(stored)) => gateway.note_poison_conflict(digest, stored),
            Err(error @ SourceError::Unreadable { .. }) => {
                // A retry would read the same content.
                warn!(gateway.log(), "poison_record_unreadable"; "digest" => %digest,
                    "revision" => revision, "error" => %error);
                gateway.note_poison_write_failed(digest, revision, None);
            }
            Err(error) => {
                failures += 1;
                warn!(gateway.log(), "poison_unrecorded"; "digest" => %digest,
                    "revision" => revision, "failures" => failures, "error" => %error);
                let pause = BACKOFF.pause_after(failures);
                let again_at = gateway.clock().now().after(pause);
                gateway.note_poison_write_failed(digest, revision, Some(again_at));
                sleep(pause).await;
            }
        }
    }
}

/// Removes the records that are scheduled for removal. A failed removal is not retried: a node that starts later finds
/// the record and removes it.
async fn remove_records(gateway: &Gateway, store: &dyn PoisonStore) {
    loop {
        let removal = gateway.state_mut().poison_records.next_removal();
        let Some((digest, revision)) = removal else {
            return;
        };
        let removed = timeout(STORE_TIMEOUT, store.remove(digest, revision)).await;
        let removed = removed.unwrap_or(Err(SourceError::NoAnswer));
        info!(gateway.log(), "poison_record_removed"; "digest" => %digest, "revision" => revision,
            "error" => removed.err().map(|error| error.to_string()));
    }
}
