//! The port to the records of requests that are held back.

use futures_util::future::LocalBoxFuture;
use ryerouter_core::poison::Digest;

use super::{Consistency, SourceError};
use crate::poison::Record;

/// A record as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// What is recorded.
    pub record: Record,
    /// Revision of its last change.
    pub revision: u64,
}

/// How writing a record went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWrite {
    /// It is written, at this revision.
    Written(u64),
    /// Another node has written this record since, or has removed it.
    Conflict(Option<StoredRecord>),
}

/// Keeps what is known of requests that are held back for nodes that are started when all others have gone.
pub trait PoisonStore {
    /// All records; those that can't be read are left out.
    fn list(
        &self,
        consistency: Consistency,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredRecord>, SourceError>>;

    /// Writes a record if the store holds this revision of it, or none where there is no revision: a call that is
    /// carried out late then changes nothing newer.
    fn write<'a>(
        &'a self,
        record: &'a Record,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<RecordWrite, SourceError>>;

    /// Removes a record unless it has changed since this revision.
    fn remove(&self, digest: Digest, revision: u64) -> LocalBoxFuture<'_, Result<(), SourceError>>;
}
