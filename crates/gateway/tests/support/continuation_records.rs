//! The records of versions and streams, as a store that all nodes of a test share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::continuation::{Segment, Shard, StoredSegment, StreamId};
use ryerouter_core::identity::PoolName;
use ryerouter_gateway::continuation::VersionRecord;
use ryerouter_gateway::source::{
    ContinuationStore, SourceError, StoreWrite, StoredVersions, VersionList,
};
use tokio::time::sleep;

/// A store of records, with revisions.
#[derive(Default)]
pub struct ContinuationRecords {
    versions: RefCell<BTreeMap<PoolName, StoredVersions>>,
    segments: RefCell<BTreeMap<(Shard, u8), StoredSegment>>,
    copy: RefCell<BTreeMap<PoolName, StoredVersions>>,
    copy_of_segments: RefCell<BTreeMap<(Shard, u8), StoredSegment>>,
    revision: Cell<u64>,
    pub era: Cell<u64>,
    /// Whether it answers nobody.
    pub is_away: Cell<bool>,
    /// Whether writes get no answer and are not carried out.
    pub is_hanging: Cell<bool>,
    /// Whether writes are carried out and get no answer.
    pub loses_answers: Cell<bool>,
    /// Whether it takes no writes.
    pub takes_no_writes: Cell<bool>,
    /// Whether writes of versions get no answer and are carried out later, see [`Self::carry_out_held_back`].
    pub holds_back_versions: Cell<bool>,
    held_back: RefCell<Vec<(VersionRecord, Option<u64>)>>,
    /// A pool whose versions it does not take.
    pub refused_pool: RefCell<Option<PoolName>>,
    /// Whether another node writes each segment first.
    pub is_contended: Cell<bool>,
    /// Whether it holds records of versions that nobody can read.
    pub is_unreadable: Cell<bool>,
    /// How long each call takes.
    pub delay: Cell<Duration>,
    /// Calls that it was asked for.
    pub calls: Cell<usize>,
    /// Records of versions that it was asked to write.
    pub version_writes: Cell<usize>,
}

impl ContinuationRecords {
    /// The versions that it holds of a pool.
    pub fn versions_of(&self, pool: &PoolName) -> Vec<String> {
        let held = self.versions.borrow();
        let record = held.get(pool).map(|stored| &stored.record);
        record.map_or(Vec::new(), |record| {
            record.versions.iter().cloned().collect()
        })
    }

    /// Engines on which its record of a pool rests.
    pub fn witnesses_of(&self, pool: &PoolName) -> BTreeSet<String> {
        let held = self.versions.borrow();
        let record = held.get(pool).map(|stored| &stored.record);
        let witnesses = record.into_iter().flat_map(|record| &record.witnesses);
        witnesses
            .map(|witness| witness.engine.as_str().to_owned())
            .collect()
    }

    /// Its records are those that a former build wrote.
    pub fn forget_witnesses(&self) {
        for stored in self.versions.borrow_mut().values_mut() {
            stored.record.witnesses.clear();
        }
    }

    /// Whether it has writes of versions that it may carry out later.
    pub fn has_held_back(&self) -> bool {
        !self.held_back.borrow().is_empty()
    }

    /// Carries out the writes of versions that it has held back, where their revisions still hold.
    pub fn carry_out_held_back(&self) {
        for (record, revision) in self.held_back.take() {
            self.take_versions(&record, revision);
        }
    }

    /// Number of streams that it holds.
    pub fn streams(&self) -> usize {
        let segments = self.segments.borrow();
        let segments = segments.values();
        segments.map(|stored| stored.segment.streams.len()).sum()
    }

    /// The streams that it holds.
    pub fn stream_ids(&self) -> BTreeSet<StreamId> {
        let segments = self.segments.borrow();
        let held = segments.values();
        let held = held.flat_map(|stored| stored.segment.streams.iter().map(|(id, _)| *id));
        held.collect()
    }

    /// Keeps a copy for [`Self::restore_copy`] and [`Self::restore_copy_with_streams`].
    pub fn make_copy(&self) {
        *self.copy_of_segments.borrow_mut() = self.segments.borrow().clone();
        *self.copy.borrow_mut() = self.versions.borrow().clone();
    }

    /// Comes back from the copy, without the streams.
    pub fn restore_copy(&self) {
        *self.versions.borrow_mut() = self.copy.borrow().clone();
        self.segments.borrow_mut().clear();
        self.era.set(self.era.get() + 1);
    }

    /// Comes back from the copy, whose revisions are given out again.
    pub fn restore_copy_with_streams(&self) {
        self.restore_copy();
        *self.segments.borrow_mut() = self.copy_of_segments.borrow().clone();
        let segments = self.segments.borrow();
        let versions = self.versions.borrow();
        let of_segments = segments.values().map(|stored| stored.revision);
        let of_versions = versions.values().map(|stored| stored.revision);
        let newest = of_segments.chain(of_versions).max();
        self.revision.set(newest.unwrap_or_default());
    }

    /// Loses the versions, and nobody notices.
    pub fn lose_versions(&self) {
        self.versions.borrow_mut().clear();
    }

    async fn answer(&self) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        sleep(self.delay.get()).await;
        match self.is_away.get() {
            true => Err(SourceError::Unavailable {
                detail: "away".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn take_versions(
        &self,
        record: &VersionRecord,
        revision: Option<u64>,
    ) -> StoreWrite<StoredVersions> {
        let mut held = self.versions.borrow_mut();
        let found = held.get(&record.pool);
        if found.map(|found| found.revision) != revision {
            return StoreWrite::Conflict(found.cloned());
        }
        let revision = self.next_revision();
        let record = record.clone();
        held.insert(record.pool.clone(), StoredVersions { record, revision });
        StoreWrite::Written(revision)
    }

    fn take_segment(
        &self,
        shard: Shard,
        segment: &Segment,
        revision: Option<u64>,
    ) -> StoreWrite<StoredSegment> {
        let mut held = self.segments.borrow_mut();
        let found = held.get(&(shard, segment.index));
        if found.map(|found| found.revision) != revision {
            return StoreWrite::Conflict(found.cloned());
        }
        let stored = StoredSegment {
            segment: segment.clone(),
            revision: self.next_revision(),
        };
        let revision = stored.revision;
        held.insert((shard, segment.index), stored);
        StoreWrite::Written(revision)
    }

    /// Another node writes a segment.
    fn write_first(&self, index: u8) -> StoreWrite<StoredSegment> {
        StoreWrite::Conflict(Some(StoredSegment {
            segment: Segment {
                index,
                streams: BTreeSet::new(),
            },
            revision: self.next_revision(),
        }))
    }

    async fn answer_write(&self) -> Result<(), SourceError> {
        self.answer().await?;
        match self.takes_no_writes.get() {
            true => Err(SourceError::Throttled),
            false => Ok(()),
        }
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }
}

impl ContinuationStore for ContinuationRecords {
    fn list_versions(&self) -> LocalBoxFuture<'_, Result<VersionList, SourceError>> {
        async move {
            self.answer().await?;
            let is_unreadable = self.is_unreadable.get();
            let records = self.versions.borrow();
            let readable = records.values().filter(|_| !is_unreadable);
            Ok(VersionList {
                records: readable.cloned().collect(),
                has_unreadable: is_unreadable,
                era: self.era.get(),
            })
        }
        .boxed_local()
    }

    fn write_versions<'a>(
        &'a self,
        record: &'a VersionRecord,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<StoreWrite<StoredVersions>, SourceError>> {
        async move {
            self.version_writes.set(self.version_writes.get() + 1);
            self.answer_write().await?;
            if self.refused_pool.borrow().as_ref() == Some(&record.pool) {
                return Err(SourceError::Throttled);
            }
            if self.holds_back_versions.get() {
                self.held_back.borrow_mut().push((record.clone(), revision));
                return pending().await;
            }
            Ok(self.take_versions(record, revision))
        }
        .boxed_local()
    }

    fn list_segments(
        &self,
        shard: Shard,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredSegment>, SourceError>> {
        async move {
            self.answer().await?;
            let held = self.segments.borrow();
            let of_shard = held.iter().filter(|((of, _), _)| *of == shard);
            Ok(of_shard.map(|(_, stored)| stored.clone()).collect())
        }
        .boxed_local()
    }

    fn write_segment<'a>(
        &'a self,
        shard: Shard,
        segment: &'a Segment,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<StoreWrite<StoredSegment>, SourceError>> {
        async move {
            self.answer_write().await?;
            if self.is_hanging.get() {
                return pending().await;
            }
            if self.is_contended.get() {
                return Ok(self.write_first(segment.index));
            }
            let written = self.take_segment(shard, segment, revision);
            if self.loses_answers.get() {
                return pending().await;
            }
            Ok(written)
        }
        .boxed_local()
    }
}
