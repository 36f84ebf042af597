//! Records of the software versions of streams.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{Knowledge, StreamId};
use crate::Timestamp;
use crate::identity::PoolName;
use crate::release::SoftwareVersion;

/// How long a record is kept after the stream last began or went on. Callers that come back later begin anew.
pub const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of records; beyond it the oldest ones are dropped.
const MAX_RECORDS: usize = 65_536;

/// Who reported a record; of several, the greatest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store held it.
    Store,
    /// Another node relayed the stream.
    Peer,
    /// This node did.
    Own,
}

/// Position of a pool and version in [`Register::versions`].
type VersionIndex = u32;

#[derive(Debug, Clone, Copy)]
struct Record {
    /// `None` if streams of different versions were begun under this id.
    version: Option<VersionIndex>,
    noted_at: Timestamp,
    source: Source,
}

/// Records of the software versions of streams, bounded in number and age.
#[derive(Debug, Default)]
pub struct Register {
    records: HashMap<StreamId, Record>,
    /// The records in order of time. An id that was noted again stands here more than once; only the last one counts.
    order: VecDeque<(Timestamp, StreamId)>,
    versions: Vec<(PoolName, SoftwareVersion)>,
}

impl Register {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that an engine of this version wrote events of a stream.
    pub fn note(
        &mut self,
        id: StreamId,
        pool: &PoolName,
        software: &str,
        source: Source,
        now: Timestamp,
    ) {
        let version = self.index_of(pool, software);
        let record = Record {
            version: Some(version),
            noted_at: now,
            source,
        };
        let known = self.records.entry(id).or_insert(record);
        if known.version != Some(version) {
            known.version = None;
        }
        known.noted_at = now;
        known.source = known.source.max(source);
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Records that streams of different versions were begun under this id.
    pub fn note_ambiguous(&mut self, id: StreamId, now: Timestamp) {
        let record = Record {
            version: None,
            noted_at: now,
            source: Source::Peer,
        };
        self.records.insert(id, record);
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// What is known about a stream.
    pub fn get(&self, id: StreamId, now: Timestamp) -> Knowledge {
        let record = self.records.get(&id);
        match record.filter(|record| now.since(record.noted_at) < RETENTION) {
            None => Knowledge::Unknown,
            Some(Record { version: None, .. }) => Knowledge::Ambiguous,
            Some(Record {
                version: Some(index),
                ..
            }) => Knowledge::Began(self.versions[*index as usize].1.clone()),
        }
    }

    /// Who reported the record of a stream.
    pub fn source(&self, id: StreamId, now: Timestamp) -> Option<Source> {
        let record = self.records.get(&id)?;
        (now.since(record.noted_at) < RETENTION).then_some(record.source)
    }

    /// Streams of a pool that this node relayed within this time, with their versions.
    pub fn own_since<'a>(
        &'a self,
        pool: &'a PoolName,
        age: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (StreamId, &'a SoftwareVersion)> {
        let own = self.records.iter().filter(move |(_, record)| {
            record.source == Source::Own && now.since(record.noted_at) < age
        });
        own.filter_map(move |(id, record)| {
            let (of, software) = &self.versions[record.version? as usize];
            (of == pool).then_some((*id, software))
        })
    }

    /// Streams that this node relayed or heard of within this time, with their pools and versions.
    pub fn since(
        &self,
        age: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (StreamId, &PoolName, &SoftwareVersion)> {
        let records = self.records.iter();
        let recent = records.filter(move |(_, record)| now.since(record.noted_at) < age);
        recent.filter_map(|(id, record)| {
            let (pool, software) = &self.versions[record.version? as usize];
            Some((*id, pool, software))
        })
    }

    fn index_of(&mut self, pool: &PoolName, software: &str) -> VersionIndex {
        let mut known = self.versions.iter();
        let position = known.position(|(of, version)| of == pool && version == software);
        let position = position.unwrap_or_else(|| {
            self.versions.push((pool.clone(), software.to_owned()));
            self.versions.len() - 1
        });
        position as VersionIndex
    }

    /// Drops the records that are too old or too many.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((noted_at, id)) = self.order.front().copied() {
            let is_old = now.since(noted_at) >= RETENTION;
            if !is_old && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            let record = self.records.get(&id);
            if record.is_some_and(|record| record.noted_at == noted_at) {
                self.records.remove(&id);
            }
        }
    }
}
