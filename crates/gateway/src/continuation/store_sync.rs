//! Keeps versions and streams in the store, for nodes that are started when all others have gone.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use ryerouter_core::continuation::{REWRITE_DELAY, SegmentWrite, Shard, WritePace};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::StoreCalls;
use crate::gateway::Gateway;
use crate::source::{Backoff, ContinuationStore, SourceError, StoreWrite};

/// Timeout of a call to the store, which answers within milliseconds, or within some hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a node compares the versions that serve with those recorded.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a node looks for records that no other node has confirmed.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node logs how many calls it has made.
const CALLS_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pauses after failed calls.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(1_600),
};
/// Pauses after failed readings of records, for which callers wait.
const READING_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(400),
};

/// How often a node writes to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreSettings {
    /// Mean time between two writes of a shard's records, at least; a few may follow each other at once.
    pub write_interval: Duration,
    /// Whether the deployment is started for the first time, so that nothing served before.
    pub is_first_start: bool,
}

/// Reads the recorded versions at startup, and writes what serves and what began, until dropped.
pub fn sync_continuations(
    gateway: Rc<Gateway>,
    store: Rc<dyn ContinuationStore>,
    settings: StoreSettings,
) -> impl Future<Output = ()> {
    gateway.expect_version_records(settings.is_first_start);
    async move {
        let interval = settings.write_interval;
        let reads = Shard::all().map(|shard| read_when_wanted(&gateway, store.as_ref(), shard));
        let writes =
            Shard::all().map(|shard| write_streams(&gateway, store.as_ref(), shard, interval));
        tokio::join!(
            sync_versions(&gateway, store.as_ref()),
            join_all(reads),
            join_all(writes),
            hand_over_again(&gateway),
            log_calls(&gateway)
        );
    }
}

/// Keeps up the records that other nodes are to write.
async fn hand_over_again(gateway: &Gateway) {
    loop {
        sleep(HANDOVER_INTERVAL).await;
        gateway.hand_over_again();
    }
}

/// Logs the calls to the store so far, where there were any since.
async fn log_calls(gateway: &Gateway) {
    let mut logged = StoreCalls::default();
    loop {
        sleep(CALLS_LOG_INTERVAL).await;
        let calls = gateway.store_calls();
        if calls != logged {
            logged = calls;
            info!(gateway.log(), "continuation_store_calls";
                "versions_read" => calls.versions_read,
                "versions_confirmed" => calls.versions_confirmed,
                "versions_written" => calls.versions_written,
                "shards_read" => calls.shards_read, "shards_wanted" => calls.shards_wanted,
                "segments_written" => calls.segments_written, "conflicts" => calls.conflicts,
                "failures" => calls.failures);
        }
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
        let wanted = gateway.until_version_reading_wanted();
        let _ = timeout(COMPARE_INTERVAL, wanted).await;
        gateway.schedule_version_records();
        if gateway.due_version_records().is_empty() && !gateway.is_version_reading_due() {
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
    let asked_at = gateway.clock().now();
    gateway.count_version_reading();
    let listed = timeout(STORE_TIMEOUT, store.list_versions()).await;
    let listed = listed.unwrap_or(Err(SourceError::NoAnswer))?;
    gateway.apply_version_records(listed, asked_at);
    Ok(())
}

/// Writes the versions that are due and that no other node has written until now. A pool whose record can't be written
/// does not hold up the others.
async fn write_due_versions(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
) -> Result<(), SourceError> {
    read_versions(gateway, store).await?;
    gateway.schedule_version_records();
    let mut failed = Ok(());
    for pool in gateway.due_version_records() {
        let (record, revision) = gateway.version_record(&pool);
        gateway.count_store_calls(|calls| calls.versions_written += 1);
        let written = timeout(STORE_TIMEOUT, store.write_versions(&record, revision)).await;
        match written.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(StoreWrite::Written(revision)) => gateway.note_versions_written(record, revision),
            Ok(StoreWrite::Conflict(found)) => gateway.note_version_conflict(&pool, found),
            Err(error) => failed = Err(error),
        }
    }
    failed
}

/// Reads the stored records of a shard each time that a stream of it is not known, or that this node begins to write.
async fn read_when_wanted(gateway: &Gateway, store: &dyn ContinuationStore, shard: Shard) {
    let mut failures = 0;
    loop {
        let changed = gateway.stream_records_due.notified();
        if !gateway.wants_shard(shard) {
            changed.await;
            continue;
        }
        gateway.count_store_calls(|calls| calls.shards_read += 1);
        let listed = timeout(STORE_TIMEOUT, store.list_segments(shard)).await;
        match listed.unwrap_or(Err(SourceError::NoAnswer)) {
            Ok(segments) => {
                failures = 0;
                gateway.apply_segments(shard, segments);
            }
            Err(error) => {
                failures += 1;
                gateway.note_shard_unread(shard, failures, &error);
                sleep(READING_BACKOFF.pause_after(failures)).await;
            }
        }
    }
}

/// Writes the records of a shard's streams while this node is asked to. Several writes may be under way.
async fn write_streams(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
    shard: Shard,
    interval: Duration,
) {
    let mut pace = WritePace::new(interval);
    let mut under_way = FuturesUnordered::new();
    let mut failures = 0;
    let mut due_at = gateway.clock().now();
    let mut begun_at = due_at;
    loop {
        let changed = gateway.stream_records_due.notified();
        let now = gateway.clock().now();
        // A prompt write is waited for: the next one holds all that began meanwhile.
        let next_at = match under_way.is_empty() {
            true => due_at,
            false => due_at.max(begun_at.after(interval)),
        };
        let is_due = now >= next_at;
        let next = is_due.then(|| gateway.next_segment(shard)).flatten();
        if let Some(write) = next {
            (begun_at, due_at) = (now, now.after(pace.pause_after_write(now)));
            under_way.push(write_segment(gateway, store, shard, write));
            continue;
        }
        let wait = if is_due {
            REWRITE_DELAY
        } else {
            next_at.since(now)
        };
        tokio::select! {
            Some(error) = under_way.next() => {
                let Some(error) = error else {
                    failures = 0;
                    continue;
                };
                failures += 1;
                log_unrecorded(gateway, shard, failures, &error);
                let pause = pause_after_write(&error, failures, interval);
                due_at = due_at.max(gateway.clock().now().after(pause));
            }
            () = changed, if is_due => {}
            () = sleep(wait), if !is_due || !under_way.is_empty() => {}
        }
    }
}

/// Writes one segment; returns why the store has not acknowledged it.
async fn write_segment(
    gateway: &Gateway,
    store: &dyn ContinuationStore,
    shard: Shard,
    write: SegmentWrite,
) -> Option<SourceError> {
    gateway.count_store_calls(|calls| calls.segments_written += 1);
    let written = store.write_segment(shard, &write.segment, write.replaces);
    let written = timeout(STORE_TIMEOUT, written).await;
    match written.unwrap_or(Err(SourceError::NoAnswer)) {
        Ok(StoreWrite::Written(revision)) => gateway.note_segment_written(shard, &write, revision),
        Ok(StoreWrite::Conflict(found)) => {
            gateway.count_store_calls(|calls| calls.conflicts += 1);
            gateway.note_segment_conflict(shard, &write, found);
        }
        Err(error) => {
            gateway.count_store_calls(|calls| calls.failures += 1);
            gateway.note_segment_unwritten(shard, &write);
            return Some(error);
        }
    }
    None
}

fn log_unrecorded(gateway: &Gateway, shard: Shard, failures: u32, error: &SourceError) {
    if failures.is_power_of_two() {
        warn!(gateway.log(), "streams_unrecorded"; "shard" => %shard, "failures" => failures,
            "error" => %error);
    }
}

/// The pause after a failed write. A store that fails is asked no more often than one that answers, and no less, since
/// what begins until the next write is lost if all nodes are killed; one that has too much to do is spared.
fn pause_after_write(error: &SourceError, failures: u32, interval: Duration) -> Duration {
    let backoff = match error {
        SourceError::Throttled => BACKOFF,
        _ => Backoff {
            first: interval,
            longest: interval * 2,
        },
    };
    backoff.pause_after(failures)
}
