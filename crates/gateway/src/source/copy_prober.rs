//! Proving that the copies of the list of engines and of the named weights are current.

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use super::{Backoff, CatalogueSource, ItemBatch, ItemKind, SourceError};
use crate::gateway::{Gateway, Query};

/// Time between looks at the age of the proof.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for an answer; the source answers within milliseconds, when it is slow within some
/// hundred.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Waits after a question that got no answer, though it was repeated on a new connection: the source is in trouble. The
/// watch beside notices its return as well.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_millis(2_400),
};

/// Asks the source whenever neither this node nor another has proved a copy current for some time.
///
/// The watch that runs beside brings changes sooner, as long as its connection carries anything; this
/// question is short and has a short limit, so it finds out when that is no longer so.
pub(super) async fn keep_copy_fresh(
    gateway: Rc<Gateway>,
    source: Rc<dyn CatalogueSource>,
    kind: ItemKind,
) {
    let mut failures = 0;
    loop {
        while !gateway.needs_freshness_check(kind) {
            gateway.clock().look(LOOK_INTERVAL).await;
        }
        match ask(&gateway, source.as_ref(), kind).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                gateway.note_freshness_check_failed(kind, &error, failures);
                info!(gateway.log(), "copy_unproven"; "kind" => %kind, "failures" => failures,
                    "error" => %error);
                sleep(BACKOFF.pause_after(failures)).await;
            }
        }
    }
}

async fn ask(
    gateway: &Gateway,
    source: &dyn CatalogueSource,
    kind: ItemKind,
) -> Result<(), SourceError> {
    let revision = gateway.state().replicas.of(kind).revision;
    let revision = revision.unwrap_or_default();
    let asked_at = gateway.clock().now();
    let question = source.watch(kind, revision, Duration::ZERO);
    let answer = timeout(ANSWER_LIMIT, question).await;
    let answer = answer.unwrap_or(Err(SourceError::NoAnswer));
    gateway.count_source_request(kind, Query::Probe, answer.is_ok());
    let batch = answer?;
    gateway.note_response_time(asked_at, Duration::ZERO);
    if batch.revision < revision {
        debug!(gateway.log(), "copy_proof_too_old"; "kind" => %kind,
            "revision" => %batch.revision, "known" => %revision);
        return Err(SourceError::Unreadable {
            detail: "older than what was asked for".to_owned(),
        });
    }
    take(gateway, kind, batch, asked_at);
    Ok(())
}

/// Changes that a watch should have brought are what other nodes may lack as well.
fn take(gateway: &Gateway, kind: ItemKind, batch: ItemBatch, asked_at: Timestamp) {
    gateway.log_source_changes(kind, Query::Probe, &batch, asked_at);
    let has_changes = !batch.changes.is_empty();
    gateway.apply_batch(kind, batch, Some(asked_at));
    if has_changes {
        gateway.request_peer_send();
    }
}
