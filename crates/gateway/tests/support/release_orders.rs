//! A source of orders of releases that fails as it is told.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{Order, Outcome, Record, RejectedVersions};
use ryerouter_gateway::source::{
    OrderedRelease, Recorded, ReleaseBatch, ReleaseChange, ReleaseList, ReleaseStore, SourceError,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Time that a call takes.
const CALL: Duration = Duration::from_millis(5);

/// What becomes of records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RecordFault {
    #[default]
    None,
    /// It is carried out, and the answer comes so much later.
    LateAnswer(Duration),
    /// It is carried out, and the answer is lost.
    LostAnswer,
    /// The answer is lost, and it is carried out so much later.
    LateWrite(Duration),
}

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    pub lists: usize,
    pub watches: usize,
    pub reads: usize,
    pub records: usize,
}

impl Calls {
    pub fn all(&self) -> usize {
        self.lists + self.watches + self.reads + self.records
    }
}

/// A source of orders of releases.
#[derive(Default)]
pub struct ReleaseOrders {
    held: RefCell<BTreeMap<PoolName, OrderedRelease>>,
    changes: RefCell<Vec<(u64, ReleaseChange)>>,
    revision: Cell<u64>,
    /// The history before this revision is gone.
    pub oldest: Cell<u64>,
    /// Calls fail.
    pub is_down: Cell<bool>,
    /// Watches that wait tell nothing more.
    pub is_silent: Cell<bool>,
    pub fault: Cell<RecordFault>,
    pub calls: Cell<Calls>,
    /// Outcomes that were recorded, with the target version that they are about.
    pub recorded: RefCell<Vec<(String, Outcome)>>,
}

impl ReleaseOrders {
    /// The operator orders a release; tells its order.
    pub fn order(&self, pool: &str, target: &str, ramp: Duration) -> Order {
        let pool = PoolName::new(pool);
        let held = self.held.borrow().get(&pool).cloned();
        let revision = self.next_revision();
        let order = Order {
            pool,
            target: target.to_owned(),
            ramp,
            made: held.as_ref().map_or(revision, |held| held.order.made),
        };
        self.put(OrderedRelease {
            order: order.clone(),
            revision,
            record: held.and_then(|held| held.record),
        });
        order
    }

    /// The operator takes an order back.
    pub fn remove(&self, pool: &str) {
        let pool = PoolName::new(pool);
        self.held.borrow_mut().remove(&pool);
        let change = ReleaseChange::Gone(pool);
        let revision = self.next_revision();
        self.changes.borrow_mut().push((revision, change));
    }

    /// What is recorded of a pool's order.
    pub fn record_of(&self, pool: &str) -> Option<Record> {
        let held = self.held.borrow();
        held.get(&PoolName::new(pool))?.record.clone()
    }

    /// An outcome is recorded, by whomever.
    pub fn write(&self, pool: &str, outcome: Outcome) {
        let held = self.held.borrow().get(&PoolName::new(pool)).cloned();
        let release = held.expect("order");
        let record = Record {
            target: release.order.target.clone(),
            outcome,
            rejected: RejectedVersions::default(),
        };
        self.put_record(release, record);
    }

    fn put_record(&self, release: OrderedRelease, record: Record) {
        self.put(OrderedRelease {
            revision: self.next_revision(),
            record: Some(record),
            ..release
        });
    }

    /// Calls since the last question.
    pub fn take_calls(&self) -> Calls {
        self.calls.take()
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn put(&self, release: OrderedRelease) {
        let pool = release.order.pool.clone();
        self.held.borrow_mut().insert(pool, release.clone());
        let change = (release.revision, ReleaseChange::Ordered(release));
        self.changes.borrow_mut().push(change);
    }

    fn count(&self, count: impl FnOnce(&mut Calls)) {
        let mut calls = self.calls.get();
        count(&mut calls);
        self.calls.set(calls);
    }

    async fn answer<T>(&self, answer: impl FnOnce() -> T) -> Result<T, SourceError> {
        sleep(CALL).await;
        match self.is_down.get() {
            true => Err(SourceError::Unavailable {
                detail: "down".to_owned(),
            }),
            false => Ok(answer()),
        }
    }

    fn changes_since(&self, since: u64) -> Vec<ReleaseChange> {
        let changes = self.changes.borrow();
        let later = changes.iter().filter(|(revision, _)| *revision > since);
        later.map(|(_, change)| change.clone()).collect()
    }

    async fn watch_once(&self, since: u64, wait: Duration) -> Result<ReleaseBatch, SourceError> {
        let begun = Instant::now();
        loop {
            let changes = self.answer(|| self.changes_since(since)).await?;
            if since < self.oldest.get() {
                return Err(SourceError::HistoryGone);
            }
            if self.is_silent.get() && !wait.is_zero() {
                return pending().await;
            }
            if !changes.is_empty() || begun.elapsed() >= wait {
                return Ok(ReleaseBatch {
                    changes,
                    revision: self.revision.get(),
                });
            }
            sleep(CALL).await;
        }
    }

    fn write_once(&self, release: &OrderedRelease, record: &Record) -> Recorded {
        let held = self.held.borrow().get(&release.order.pool).cloned();
        let held = held.filter(|held| held.revision == release.revision);
        let Some(held) = held else {
            return Recorded::Conflict;
        };
        let written = (record.target.clone(), record.outcome);
        self.recorded.borrow_mut().push(written);
        self.put_record(held, record.clone());
        let held = self.held.borrow().get(&release.order.pool).cloned();
        Recorded::Written(held.expect("was written"))
    }
}

/// One node's way to the source of orders.
pub struct OrdersWay(pub Rc<ReleaseOrders>);

impl ReleaseStore for OrdersWay {
    fn list(&self) -> LocalBoxFuture<'_, Result<ReleaseList, SourceError>> {
        self.0.count(|calls| calls.lists += 1);
        let list = || ReleaseList {
            releases: self.0.held.borrow().values().cloned().collect(),
            revision: self.0.revision.get(),
        };
        self.0.answer(list).boxed_local()
    }

    fn watch(
        &self,
        revision: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ReleaseBatch, SourceError>> {
        self.0.count(|calls| calls.watches += 1);
        self.0.watch_once(revision, wait).boxed_local()
    }

    fn read<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> LocalBoxFuture<'a, Result<Option<OrderedRelease>, SourceError>> {
        self.0.count(|calls| calls.reads += 1);
        let read = || self.0.held.borrow().get(pool).cloned();
        self.0.answer(read).boxed_local()
    }

    fn record<'a>(
        &'a self,
        release: &'a OrderedRelease,
        record: &'a Record,
    ) -> LocalBoxFuture<'a, Result<Recorded, SourceError>> {
        self.0.count(|calls| calls.records += 1);
        async move {
            let source = &self.0;
            match source.fault.get() {
                RecordFault::None => source.answer(|| source.write_once(release, record)).await,
                RecordFault::LateAnswer(late) => {
                    let written = source.answer(|| source.write_once(release, record)).await;
                    sleep(late).await;
                    written
                }
                RecordFault::LostAnswer => {
                    source.write_once(release, record);
                    pending().await
                }
                RecordFault::LateWrite(late) => {
                    let (source, release) = (Rc::clone(source), release.clone());
                    let record = record.clone();
                    spawn_local(async move {
                        sleep(late).await;
                        source.write_once(&release, &record);
                    });
                    pending().await
                }
            }
        }
        .boxed_local()
    }
}
