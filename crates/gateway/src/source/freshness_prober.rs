//! Proving that the configuration is current.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};

use super::{CatalogueSource, ItemKind};
use crate::gateway::{Gateway, Query};

/// Time between looks at the age of the proof.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Wait after a question that got no answer.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(150);

/// Asks the source whenever no node has proved the configuration current for some time.
///
/// Each node draws at random how old a proof may become, between one and two fifths of what is
/// allowed. The first to find it too old asks, and its proof reaches the others by gossip, so that
/// all nodes together ask about as often as one would alone.
pub async fn keep_fresh(gateway: Rc<Gateway>, source: Rc<dyn CatalogueSource>, allowed: Duration) {
    loop {
        let patience = allowed.mul_f64(rand::rng().random_range(0.2..0.4));
        wait_until_older(&gateway, patience).await;
        if !ask(&gateway, source.as_ref()).await {
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
    let is_old = !replica.freshness.is_within(patience, now);
    replica.revision.is_some() && (is_old || replica.is_behind())
}

/// Whether the source answered.
async fn ask(gateway: &Gateway, source: &dyn CatalogueSource) -> bool {
    let replica = gateway
        .state()
        .replicas
        .of(ItemKind::Configuration)
        .revision;
    let Some(revision) = replica else {
        return false;
    };
    let asked_at = gateway.clock().now();
    let question = source.watch(ItemKind::Configuration, revision, Duration::ZERO);
    let answer = timeout(ANSWER_LIMIT, question).await;
    let is_answered = matches!(answer, Ok(Ok(_)));
    gateway.count_source_request(ItemKind::Configuration, Query::Probe, is_answered);
    match answer {
        Ok(Ok(batch)) if batch.revision >= revision => {
            gateway.note_response_time(asked_at, Duration::ZERO);
            gateway.log_source_changes(ItemKind::Configuration, Query::Probe, &batch, asked_at);
            // The watch that runs beside goes on from its own revision.
            gateway.apply_changes(ItemKind::Configuration, batch.changes, asked_at);
            gateway.request_peer_send();
            true
        }
        Ok(Err(error)) => {
            gateway.note_configuration_check_failed(&error);
            false
        }
        Ok(Ok(_)) | Err(_) => false,
    }
}
