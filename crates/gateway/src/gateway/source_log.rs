//! Logs and counts requests to the source.
//!
//! The log lines show how and how late a change became known. A change that an open watch did not
//! report indicates a watch on a silent connection; see
//! docs/incidents/2026-12-02-silent-connections.md.

use std::fmt;
use std::time::Duration;

use derive_more::Display;
use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::source::{ItemBatch, ItemKind, Revision};

/// A proof is logged if it is newer by this much than the one before.
const MIN_LOGGED_GAIN: Duration = Duration::from_millis(500);

/// Kind of a request to the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Query {
    /// Lists all items.
    #[display("list")]
    List,
    /// Waits for changes.
    #[display("watch")]
    Watch,
    /// Asks for the changes until now, to confirm that a replica is current.
    #[display("probe")]
    Probe,
}

/// What proves that this node's configuration was current, or would if it showed everything.
#[derive(Clone, Copy)]
pub(crate) struct Proof<'a> {
    /// Who gave it: a kind of request to the source, or the name of a node.
    pub(crate) by: &'a dyn fmt::Display,
    /// The moment for which it counts.
    pub(crate) as_of: Timestamp,
    /// The revision that the question began at; `None` for lists and nodes.
    pub(crate) asked_from: Option<Revision>,
    /// The revision that the answer led to; `None` for nodes.
    pub(crate) answered: Option<Revision>,
    /// Whether the answer showed everything up to then.
    pub(crate) is_whole: bool,
}

impl<'a> Proof<'a> {
    /// The proof of another node.
    pub(crate) fn of_node(node: &'a NodeName, as_of: Timestamp) -> Self {
        Self {
            by: node,
            as_of,
            asked_from: None,
            answered: None,
            is_whole: true,
        }
    }
}

impl Gateway {
    /// Logs a proof of the configuration; called before it is taken in. Of those that add little to the proof before,
    /// most are left out, as nodes repeat them many times a second.
    pub(crate) fn log_proof(&self, state: &GatewayState, proof: Proof<'_>) {
        let now = self.clock().now();
        let replica = state.replicas.of(ItemKind::Configuration);
        let age = replica.freshness.age(now);
        let gained = age.map(|age| age.saturating_sub(now.since(proof.as_of)));
        if proof.is_whole && gained.is_some_and(|gained| gained < MIN_LOGGED_GAIN) {
            return;
        }
        let Some(left_out) = self.proof_sampler().admit(now) else {
            return;
        };
        let shown = |revision: Option<Revision>| revision.map(|revision| revision.to_string());
        info!(self.log(), "configuration_proof"; "by" => %proof.by,
            "version" => state.table.as_ref().map(|table| table.version()),
            "asked_from" => shown(proof.asked_from), "answered" => shown(proof.answered),
            "is_whole" => proof.is_whole, "is_unreadable" => replica.is_unreadable(),
            "as_of_ms" => now.since(proof.as_of).as_millis() as u64,
            "age_before_ms" => age.map(|age| age.as_millis() as u64), "left_out" => left_out);
    }

    /// Counts a request to the source by its outcome.
    pub(crate) fn count_source_request(&self, kind: ItemKind, query: Query, is_answered: bool) {
        let end = match is_answered {
            true => "answered",
            false => "failed",
        };
        let label = format!("{kind}_{query}_{end}");
        let requests = &self.metrics().source_questions;
        requests.with_label_values(&[&label]).inc();
    }

    /// Logs the changes in a response; called before they are applied.
    pub(crate) fn log_source_changes(
        &self,
        kind: ItemKind,
        query: Query,
        batch: &ItemBatch,
        asked_at: Timestamp,
    ) {
        if batch.changes.is_empty() {
            return;
        }
        let now = self.clock().now();
        let state = self.state();
        let replica = state.replicas.of(kind);
        let replica_age = replica.freshness.age(now);
        info!(self.log(), "source_changes"; "kind" => %kind, "by" => %query,
            "changes" => batch.changes.len(), "revision" => %batch.revision,
            "before" => replica.revision.map(|revision| revision.to_string()), "waited_ms" => now.since(asked_at).as_millis() as u64,
            "copy_age_ms" => replica_age.map(|age| age.as_millis() as u64));
    }
}
