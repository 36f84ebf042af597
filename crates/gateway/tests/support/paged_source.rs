//! A source that lists many engines in pages, over one link, and counts what it is asked.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_gateway::engines::EngineEntry;
use ryerouter_gateway::source::{
    CatalogueSource, Consistency, Item, ItemBatch, ItemChange, ItemKind, ItemPage, Revision,
    SourceError,
};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::records::table;
use ryerouter_gateway::catalogue::Route;

/// Entries of one page.
pub const PAGE: usize = 50;
/// Bytes of an entry, as a store writes it.
const ENTRY_BYTES: f64 = 250.0;
/// Bytes of the configuration.
const CONFIGURATION_BYTES: f64 = 86_000.0;
/// Bytes that the source's link carries in a second.
const BYTES_PER_SECOND: f64 = 125e6;

/// How the source treats a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It answers.
    Granted,
    /// It turns the node away at once.
    Refused,
    /// It never answers.
    Silent,
}

/// What one node has asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reads {
    /// Pages of the list of engines.
    pub pages: usize,
    /// Pages after the first one among them.
    pub later_pages: usize,
    /// All calls.
    pub calls: usize,
}

/// What all nodes' calls reach.
pub struct PagedSource {
    engines: RefCell<BTreeMap<String, EngineEntry>>,
    changes: RefCell<Vec<(u64, ItemChange)>>,
    changed: Notify,
    revision: Cell<u64>,
    /// Changes up to this revision are forgotten.
    forgotten: Cell<u64>,
    routes: Vec<Route>,
    answer_time: Cell<Duration>,
    idle_from: Cell<Instant>,
    access: RefCell<BTreeMap<usize, Access>>,
    reads: RefCell<BTreeMap<usize, Reads>>,
    stopped: RefCell<BTreeSet<usize>>,
}

impl PagedSource {
    /// A source with one configuration, and these engines.
    pub fn new(engines: impl IntoIterator<Item = EngineEntry>, routes: Vec<Route>) -> Rc<Self> {
        let engines = engines.into_iter();
        let engines = engines.map(|entry| (entry.name.to_string(), entry));
        Rc::new(Self {
            engines: RefCell::new(engines.collect()),
            changes: RefCell::default(),
            changed: Notify::new(),
            revision: Cell::new(100),
            forgotten: Cell::default(),
            routes,
            answer_time: Cell::new(Duration::from_millis(4)),
            idle_from: Cell::new(Instant::now()),
            access: RefCell::default(),
            reads: RefCell::default(),
            stopped: RefCell::default(),
        })
    }

    /// From now on an answer takes so long.
    pub fn set_answer_time(&self, time: Duration) {
        self.answer_time.set(time);
    }

    /// From now on a node is treated like this.
    pub fn set_access(&self, node: usize, access: Access) {
        self.access.borrow_mut().insert(node, access);
    }

    /// An engine's entry is written, or written anew.
    pub fn put(&self, entry: EngineEntry) {
        let name = entry.name.to_string();
        self.engines.borrow_mut().insert(name, entry.clone());
        self.append(ItemChange::Present(Item::Engine(entry)));
    }

    /// The entry of an engine goes.
    pub fn remove(&self, name: &str) {
        self.engines.borrow_mut().remove(name);
        self.append(ItemChange::Gone(name.to_owned()));
    }

    /// The entry of an engine goes, and those who follow changes from before are not told.
    pub fn forget_history_and_remove(&self, name: &str) {
        self.remove(name);
        self.changes.borrow_mut().clear();
        self.forgotten.set(self.revision.get());
        self.changed.notify_waiters();
    }

    fn append(&self, change: ItemChange) {
        self.revision.set(self.revision.get() + 1);
        self.changes
            .borrow_mut()
            .push((self.revision.get(), change));
        self.changed.notify_waiters();
    }

    /// What a node has asked so far.
    pub fn reads(&self, node: usize) -> Reads {
        self.reads.borrow().get(&node).copied().unwrap_or_default()
    }

    /// The process of a node has ended: its calls get no answers.
    pub fn stop(&self, node: usize) {
        self.stopped.borrow_mut().insert(node);
    }

    fn count_call(&self, node: usize) {
        let mut reads = self.reads.borrow_mut();
        reads.entry(node).or_default().calls += 1;
    }

    fn count_page(&self, node: usize, is_first: bool) {
        let mut reads = self.reads.borrow_mut();
        let of_node = reads.entry(node).or_default();
        of_node.pages += 1;
        of_node.later_pages += usize::from(!is_first);
    }

    /// The time for an answer of so many bytes: all answers share one link.
    async fn answer(&self, bytes: f64) {
        sleep(self.answer_time.get()).await;
        let begin = self.idle_from.get().max(Instant::now());
        let span = bytes / BYTES_PER_SECOND;
        self.idle_from.set(begin + Duration::from_secs_f64(span));
        sleep_until(self.idle_from.get()).await;
    }

    async fn page(&self, kind: ItemKind, after: Option<String>) -> ItemPage {
        let page = self.page_now(kind, after);
        let bytes = match kind {
            ItemKind::Configuration => CONFIGURATION_BYTES,
            ItemKind::Engines | ItemKind::Weights => (page.items.len() + 1) as f64 * ENTRY_BYTES,
        };
        self.answer(bytes).await;
        page
    }

    fn page_now(&self, kind: ItemKind, after: Option<String>) -> ItemPage {
        let revision = self.revision.get();
        let whole = |items| ItemPage {
            items,
            next_after: None,
            revision: revision.into(),
        };
        match kind {
            ItemKind::Configuration => {
                let table = table(1, self.routes.clone()).with_document("1");
                whole(vec![Item::Configuration(Rc::new(table))])
            }
            ItemKind::Weights => whole(Vec::new()),
            ItemKind::Engines => {
                let engines = self.engines.borrow();
                let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
                let mut later = engines.range((begin, Bound::Unbounded));
                let page: Vec<_> = later.by_ref().take(PAGE).collect();
                let last = page.last().map(|(name, _)| (*name).clone());
                let items = page.into_iter();
                ItemPage {
                    items: items
                        .map(|(_, entry)| Item::Engine(entry.clone()))
                        .collect(),
                    next_after: last.filter(|_| later.next().is_some()),
                    revision: revision.into(),
                }
            }
        }
    }

    async fn watch(
        &self,
        kind: ItemKind,
        revision: u64,
        wait: Duration,
    ) -> Result<ItemBatch, SourceError> {
        let until = Instant::now() + wait;
        loop {
            if revision < self.forgotten.get() {
                self.answer(ENTRY_BYTES).await;
                return Err(SourceError::HistoryGone);
            }
            let changed = self.changed.notified();
            let changes = self.changes_after(kind, revision);
            if !changes.is_empty() || Instant::now() >= until {
                let revision = self.revision.get().into();
                self.answer((changes.len() + 1) as f64 * ENTRY_BYTES).await;
                return Ok(ItemBatch {
                    changes,
                    revision,
                    is_whole: true,
                });
            }
            // Its end is the end of the wait, which the next turn sees.
            let _ = timeout_at(until, changed).await;
        }
    }

    fn changes_after(&self, kind: ItemKind, revision: u64) -> Vec<ItemChange> {
        if kind != ItemKind::Engines {
            return Vec::new();
        }
        let changes = self.changes.borrow();
        let later = changes.iter().filter(|(at, _)| *at > revision);
        later.map(|(_, change)| change.clone()).collect()
    }
}

/// One node's way to the source.
pub struct PagedWay {
    pub source: Rc<PagedSource>,
    pub node: usize,
}

impl PagedWay {
    async fn enter(&self) -> Result<(), SourceError> {
        if self.source.stopped.borrow().contains(&self.node) {
            return pending().await;
        }
        self.source.count_call(self.node);
        let access = self.source.access.borrow().get(&self.node).copied();
        match access.unwrap_or(Access::Granted) {
            Access::Granted => Ok(()),
            Access::Refused => {
                sleep(Duration::from_millis(2)).await;
                Err(SourceError::Throttled)
            }
            Access::Silent => pending().await,
        }
    }
}

impl CatalogueSource for PagedWay {
    fn list<'a>(
        &'a self,
        kind: ItemKind,
        _consistency: Consistency,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<ItemPage, SourceError>> {
        async move {
            if kind == ItemKind::Engines {
                self.source.count_page(self.node, after.is_none());
            }
            self.enter().await?;
            Ok(self.source.page(kind, after.map(str::to_owned)).await)
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kind: ItemKind,
        revision: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<ItemBatch, SourceError>> {
        async move {
            self.enter().await?;
            self.source.watch(kind, revision.number, wait).await
        }
        .boxed_local()
    }
}
