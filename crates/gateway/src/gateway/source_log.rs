//! What is logged and counted of questions to the source.
//!
//! The lines tell by which way and how late a change became known: a change that the watch did not
//! bring, though it was open, shows a watch on a silent connection; see
//! docs/incidents/2026-12-02-silent-connections.md.

use derive_more::Display;
use ryerouter_core::Timestamp;
use slog::info;

use super::Gateway;
use crate::source::{ItemBatch, ItemKind};

/// A way of asking the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum SourceRequestKind {
    /// All items.
    #[display("list")]
    List,
    /// Changes, waited for.
    #[display("watch")]
    Watch,
    /// Changes until now, to prove that a copy is current.
    #[display("probe")]
    Probe,
}

impl Gateway {
    /// Counts how a question ended.
    pub(crate) fn count_source_request(
        &self,
        kind: ItemKind,
        way: SourceRequestKind,
        is_answered: bool,
    ) {
        let end = match is_answered {
            true => "answered",
            false => "failed",
        };
        let question = format!("{kind}_{way}_{end}");
        let questions = &self.metrics().source_questions;
        questions.with_label_values(&[&question]).inc();
    }

    /// Logs changes that an answer brought, before they are taken in.
    pub(crate) fn log_source_changes(
        &self,
        kind: ItemKind,
        way: SourceRequestKind,
        batch: &ItemBatch,
        asked_at: Timestamp,
    ) {
        if batch.changes.is_empty() {
            return;
        }
        let now = self.clock().now();
        let state = self.state();
        let replica = state.replicas.of(kind);
        let copy_age = replica.freshness.age(now);
        info!(self.log(), "source_changes"; "kind" => %kind, "by" => %way,
            "changes" => batch.changes.len(), "revision" => batch.revision,
            "before" => replica.revision, "waited_ms" => now.since(asked_at).as_millis() as u64,
            "copy_age_ms" => copy_age.map(|age| age.as_millis() as u64));
    }
}
