//! Logs and counts requests to the source.
//!
//! The log lines show how and how late a change became known. A change that an open watch did not
//! report indicates a watch on a silent connection; see
//! docs/incidents/2026-12-02-silent-connections.md.

use derive_more::Display;
use ryerouter_core::Timestamp;
use slog::info;

use super::Gateway;
use crate::source::{ItemBatch, ItemKind};

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

impl Gateway {
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
