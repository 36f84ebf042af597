//! The records of requests that are held back, as a store that all nodes of a test share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::poison::Digest;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::poison::{Record, sync_records};
use ryerouter_gateway::source::{Consistency, PoisonStore, RecordWrite, SourceError, StoredRecord};
use tokio::task::JoinSet;

tokio::task_local! {
    /// The store of the test that runs.
    pub static RECORDS: Rc<PoisonRecords>;
}

/// A store of records, with revisions.
#[derive(Default)]
pub struct PoisonRecords {
    held: RefCell<BTreeMap<Digest, StoredRecord>>,
    revision: Cell<u64>,
    /// As stale readings see it.
    stale: RefCell<Vec<StoredRecord>>,
    /// Whether it answers nobody.
    pub is_away: Cell<bool>,
    /// Writes and removals that it was asked for.
    pub changes: Cell<usize>,
    /// Lists that it was asked for, stale ones and others.
    pub lists: Cell<(usize, usize)>,
}

impl PoisonRecords {
    /// The store of the test that runs.
    pub fn of_test() -> Rc<Self> {
        RECORDS.with(Rc::clone)
    }

    /// All records.
    pub fn all(&self) -> Vec<StoredRecord> {
        self.held.borrow().values().cloned().collect()
    }

    /// Nothing is recorded.
    pub fn clear(&self) {
        self.held.borrow_mut().clear();
        self.refresh_stale();
    }

    /// Stale readings see what is there now until this is called again.
    pub fn refresh_stale(&self) {
        *self.stale.borrow_mut() = self.all();
    }

    fn list_now(&self, consistency: Consistency) -> Result<Vec<StoredRecord>, SourceError> {
        let (stale, current) = self.lists.get();
        self.lists.set(match consistency {
            Consistency::Stale => (stale + 1, current),
            Consistency::Linearizable => (stale, current + 1),
        });
        self.answer()?;
        Ok(match consistency {
            Consistency::Stale => self.stale.borrow().clone(),
            Consistency::Linearizable => self.all(),
        })
    }

    fn write_now(
        &self,
        record: &Record,
        revision: Option<u64>,
    ) -> Result<RecordWrite, SourceError> {
        self.changes.set(self.changes.get() + 1);
        self.answer()?;
        let mut held = self.held.borrow_mut();
        let stored = held.get(&record.digest());
        if stored.map(|stored| stored.revision) != revision {
            return Ok(RecordWrite::Conflict(stored.cloned()));
        }
        self.revision.set(self.revision.get() + 1);
        let stored = StoredRecord {
            record: record.clone(),
            revision: self.revision.get(),
        };
        held.insert(record.digest(), stored);
        Ok(RecordWrite::Written(self.revision.get()))
    }

    fn remove_now(&self, digest: Digest, revision: u64) -> Result<(), SourceError> {
        self.changes.set(self.changes.get() + 1);
        self.answer()?;
        let mut held = self.held.borrow_mut();
        let stored = held.get(&digest).map(|stored| stored.revision);
        if stored == Some(revision) {
            held.remove(&digest);
        }
        Ok(())
    }

    fn answer(&self) -> Result<(), SourceError> {
        match self.is_away.get() {
            true => Err(SourceError::Unavailable {
                detail: "away".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

impl PoisonStore for PoisonRecords {
    fn list(
        &self,
        consistency: Consistency,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredRecord>, SourceError>> {
        async move { self.list_now(consistency) }.boxed_local()
    }

    fn write<'a>(
        &'a self,
        record: &'a Record,
        revision: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<RecordWrite, SourceError>> {
        async move { self.write_now(record, revision) }.boxed_local()
    }

    fn remove(&self, digest: Digest, revision: u64) -> LocalBoxFuture<'_, Result<(), SourceError>> {
        async move { self.remove_now(digest, revision) }.boxed_local()
    }
}

/// Keeps the records of a node in the store of the test, until dropped.
pub fn keep(gateway: &Rc<Gateway>) -> JoinSet<()> {
    let mut keeping = JoinSet::new();
    if let Ok(store) = RECORDS.try_with(Rc::clone) {
        keeping.spawn_local(sync_records(Rc::clone(gateway), store));
    }
    keeping
}
