//! Proving that the configuration is current.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ryerouter_core::Timestamp;
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use super::{CatalogueSource, ItemBatch, ItemKind, SourceError};
use crate::gateway::{Gateway, Query};

/// Time between looks at the age of the proof.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Wait after a question that got no answer.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(150);
/// Most answers that are asked for in a row, each for what the one before it may have left out.
const MAX_ANSWERS: usize = 16;

/// Asks the source whenever no node has proved the configuration current for some time.
///
/// Each node draws at random how old a proof may become, between one and two fifths of what is
/// allowed. The first to find it too old asks, and its proof reaches the others by gossip, so that
/// all nodes together ask about as often as one would alone.
pub async fn keep_fresh(gateway: Rc<Gateway>, source: Rc<dyn CatalogueSource>, allowed: Duration) {
    loop {
        let patience = allowed.mul_f64(rand::rng().random_range(0.2..0.4));
        wait_until_older(&gateway, patience).await;
        if !prove(&gateway, source.as_ref()).await {
            sleep(PAUSE_AFTER_FAILURE).await;
        }
    }
}

async fn wait_until_older(gateway: &Gateway, patience: Duration) {
    while !needs_proof(gateway, patience) {
        gateway.clock().look(LOOK_INTERVAL).await;
    }
}

fn needs_proof(gateway: &Gateway, patience: Duration) -> bool {
    let now = gateway.clock().now();
    let state = gateway.state();
    if state.peers.is_large() {
        // There the node that follows the configuration keeps it current.
        return false;
    }
    let replica = state.replicas.of(ItemKind::Configuration);
    let known_at = replica.known_as_of();
    let is_old = known_at.is_none_or(|at| now.since(at) >= patience);
    replica.revision.is_some() && (is_old || replica.is_behind())
}

/// Whether the source has proved the configuration current.
async fn prove(gateway: &Gateway, source: &dyn CatalogueSource) -> bool {
    for _ in 0..MAX_ANSWERS {
        match ask(gateway, source).await {
            Some(batch) if batch.is_whole => return true,
            Some(_) => {}
            None => return false,
        }
    }
    info!(gateway.log(), "configuration_unproven"; "reason" => "changes go on",
        "answers" => MAX_ANSWERS);
    false
}

/// Asks for what has changed since the copy, and takes it in.
async fn ask(gateway: &Gateway, source: &dyn CatalogueSource) -> Option<ItemBatch> {
    let revision = gateway
        .state()
        .replicas
        .of(ItemKind::Configuration)
        .revision?;
    let asked_at = gateway.clock().now();
    let question = source.watch(ItemKind::Configuration, revision, Duration::ZERO);
    let answer = timeout(ANSWER_LIMIT, question).await;
    let answer = answer.unwrap_or(Err(SourceError::NoAnswer));
    gateway.count_source_request(ItemKind::Configuration, Query::Probe, answer.is_ok());
    match answer {
        Ok(batch) if batch.revision >= revision => {
            take(gateway, &batch, asked_at);
            Some(batch)
        }
        Ok(batch) => {
            info!(gateway.log(), "configuration_unproven"; "reason" => "older than asked for",
                "revision" => %batch.revision, "known" => %revision);
            None
        }
        Err(error) => {
            debug!(gateway.log(), "configuration_unproven"; "error" => %error);
            gateway.note_configuration_check_failed(&error);
            None
        }
    }
}

/// The watch that runs beside is left once it is seen to lack these changes.
fn take(gateway: &Gateway, batch: &ItemBatch, asked_at: Timestamp) {
    gateway.note_response_time(asked_at, Duration::ZERO);
    gateway.log_source_changes(ItemKind::Configuration, Query::Probe, batch, asked_at);
    gateway.apply_batch(ItemKind::Configuration, batch.clone(), Some(asked_at));
    gateway.request_peer_send();
}
