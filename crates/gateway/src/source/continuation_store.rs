//! The port to the records of versions and streams.

use futures_util::future::LocalBoxFuture;
use ryerouter_core::continuation::{Segment, Shard, StoredSegment};

use super::SourceError;
use crate::continuation::VersionRecord;

/// The versions of a pool as the store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredVersions {
    /// What is recorded.
    pub record: VersionRecord,
    /// Revision of its last change.
    pub revision: u64,
}

/// The versions of all pools.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VersionList {
    /// The records; those that can't be read are left out.
    pub records: Vec<StoredVersions>,
    /// Whether records were left out.
    pub has_unreadable: bool,
    /// Era in which the store was.
    pub era: u64,
}

/// How writing went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreWrite<T> {
    /// It is written, at this revision.
    Written(u64),
    /// Another node has written since, or the object is gone.
    Conflict(Option<T>),
}

/// Keeps what is known of versions and streams for nodes that are started when all others have gone.
pub trait ContinuationStore {
    /// The versions of all pools, read linearizably: a stale answer proves nothing about what served.
    fn list_versions(&self) -> LocalBoxFuture<'_, Result<VersionList, SourceError>>;

    /// Writes the versions of a pool if the store holds this revision, or none where there is no revision.
    fn write_versions<'a>(
        &'a self,
        record: &'a VersionRecord,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<StoreWrite<StoredVersions>, SourceError>>;

    /// The segments of a shard; those that can't be read are left out.
    fn list_segments(
        &self,
        shard: Shard,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredSegment>, SourceError>>;

    /// Writes a segment if the store holds this revision, or none where there is no revision.
    fn write_segment<'a>(
        &'a self,
        shard: Shard,
        segment: &'a Segment,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<StoreWrite<StoredSegment>, SourceError>>;
}
