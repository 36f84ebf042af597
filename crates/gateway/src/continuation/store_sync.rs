//! Keeps versions and streams in the store, for nodes that are started when all others have gone.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ryerouter_core::continuation::{Shard, WritePace};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::source::{Backoff, ContinuationStore, SourceError, StoreWrite};

/// Timeout of a call to the store, which answers within milliseconds, or within some hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a node compares the versions that serve with those recorded.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Pauses after failed calls.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(1_600),
};

/// How often a node writes to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreSettings {
    /// Mean time between two writes of a shard's records, at least; a few may follow each other at once.
    pub write_interval: Duration,
}

/// Reads the recorded versions at startup, and writes what serves and what began, until dropped.
pub fn sync_continuations(
    gateway: Rc<Gateway>,
    store: Rc<dyn ContinuationStore>,
    settings: StoreSettings,
) -> impl Future<Output = ()> {
    gateway.expect_version_records();
    async move {
        let shards =
            Shard::all().map(|shard| sync_shard(&gateway, store.as_ref(), shard, settings));
        tokio::join!(sync_versions(&gateway, store.as_ref()), join_all(shards));
    }
}

async fn sync_versions(gateway: &Gateway, store: &dyn ContinuationStore) {
    let mut failures = 0;
    while let Err(error) = read_versions(gateway, store).await {
        failures += 1;
        info!(gateway.log(), "version_records_unread"; "failures" => failures, "error" => %error);
        sleep(BACKOFF.pause_after(failures)).await;
    }
    failures = 0;
    loop {
        sleep(COMPARE_INTERVAL).await;
        gateway.schedule_version_records();
        if gateway.due_version_records().is_empty() {
            continue;
        }
        match write_due_versions(gateway, store).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                warn!(gateway.log(), "versions_unrecorded"; "failures" => failures,
                    "error" => %error);
                sleep(BACKOFF.pause_after(failures)).await;
            }
        }
    }
}

async fn read_versions(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
) -> Result<(), SourceError> {
    let listed = timeout(STORE_TIMEOUT, store.list_versions()).await;
    let listed = listed.unwrap_or(Err(SourceError::NoAnswer))?;
    gateway.apply_version_records(listed);
    Ok(())
}

/// Writes the versions that are due and that no other node has written until now.
async fn write_due_versions(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
) -> Result<(), SourceError> {
    read_versions(gateway, store).await?;
    gateway.schedule_version_records();
    for pool in gateway.due_version_records() {
        let (record, revision) = gateway.version_record(&pool);
        let written = timeout(STORE_TIMEOUT, store.write_versions(&record, revision)).await;
        match written.unwrap_or(Err(SourceError::NoAnswer))? {
            StoreWrite::Written(revision) => gateway.note_versions_written(record, revision),
            StoreWrite::Conflict(found) => gateway.note_version_conflict(&pool, found),
        }
    }
    Ok(())
}

/// Writes the records of a shard's streams while this node is asked to, and reads what is stored when a stream of it
/// is not known.
async fn sync_shard(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
    shard: Shard,
    settings: StoreSettings,
) {
    let mut pace = WritePace::new(settings.write_interval);
    let mut failures = 0;
    loop {
        let changed = gateway.stream_records_due.notified();
        if gateway.wants_shard(shard) {
            read_shard(gateway, store, shard).await;
        }
        let Some((segment, revision)) = gateway.next_segment(shard) else {
            changed.await;
            continue;
        };
        let streams = segment.streams.len();
        let written = store.write_segment(shard, &segment, revision);
        let written = timeout(STORE_TIMEOUT, written).await;
        match written.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(StoreWrite::Written(revision)) => {
                failures = 0;
                gateway.note_segment_written(shard, streams, revision);
                sleep(pace.pause_after_write(gateway.clock().now())).await;
            }
            Ok(StoreWrite::Conflict(found)) => gateway.note_segment_conflict(shard, found),
            Err(error) => {
                failures += 1;
                gateway.note_segment_unwritten(shard);
                warn!(gateway.log(), "streams_unrecorded"; "shard" => %shard,
                    "streams" => streams, "failures" => failures, "error" => %error);
                sleep(BACKOFF.pause_after(failures)).await;
            }
        }
    }
}

async fn read_shard(gateway: &Gateway, store: &dyn ContinuationStore, shard: Shard) {
    let listed = timeout(STORE_TIMEOUT, store.list_segments(shard)).await;
    match listed.unwrap_or(Err(SourceError::NoAnswer)) {
        Ok(segments) => gateway.apply_segments(shard, segments),
        Err(error) => gateway.note_shard_unread(shard, &error),
    }
}
