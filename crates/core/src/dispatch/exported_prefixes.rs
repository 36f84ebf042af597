//! Prefixes exported to the KV stores.

use std::time::Duration;

use crate::placement::{GenerationalMap, PlacementPoint};
use crate::prompt::BlockHash;
use crate::timestamp::Timestamp;

/// Bounded table of prefixes that engines exported to the KV store of their pool at the request of
/// this process.
///
/// An entry is only a hint: a prefix that the store no longer has is recomputed. Hashes are salted
/// with the weights version, so KV cache computed with other weights is never imported.
#[derive(Debug)]
pub(super) struct ExportedPrefixes {
    retention: Duration,
    exported_at: GenerationalMap<Option<Timestamp>>,
}

impl ExportedPrefixes {
    pub(super) fn new(generation_size: usize, retention: Duration) -> Self {
        Self {
            retention,
            exported_at: GenerationalMap::new(generation_size),
        }
    }

    pub(super) fn record_export(&mut self, prefix: BlockHash, now: Timestamp) {
        *self.exported_at.get_or_insert_with(prefix, || None) = Some(now);
    }

    /// Records that an import did not find the prefix.
    pub(super) fn record_missing(&mut self, prefix: BlockHash) {
        if let Some(exported_at) = self.exported_at.get_mut(prefix) {
            *exported_at = None;
        }
    }

    pub(super) fn is_stored(&self, prefix: BlockHash, now: Timestamp) -> bool {
        let exported_at = self.exported_at.get(prefix).copied().flatten();
        exported_at.is_some_and(|at| now.since(at) < self.retention)
    }

    /// The longest of these prefixes that is expected in the store.
    pub(super) fn longest(
        &self,
        points: &[PlacementPoint],
        now: Timestamp,
    ) -> Option<PlacementPoint> {
        let is_stored = |point: &&PlacementPoint| self.is_stored(point.hash, now);
        points.iter().rev().find(is_stored).copied()
    }
}
