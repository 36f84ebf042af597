//! A source in memory whose open connections can fall silent for good, and which may answer late.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::engines::{EngineEntry, EngineState};
use ryerouter_gateway::source::{
    CatalogueSource, Consistency, Item, ItemBatch, ItemChange, ItemKind, ItemPage, NamedWeights,
    Revision, SourceError,
};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::records::{route, table};
use super::test_dialect::MODEL;

/// Time for an answer of the source.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// A short call on a kept connection without an answer is repeated after this time
/// (tests/silent_connections.rs).
const KEPT_PATIENCE: Duration = Duration::from_millis(250);
/// Calls that are held for so long are not repeated.
const LONG_HOLD: Duration = Duration::from_secs(1);

/// What all nodes' calls reach.
#[derive(Default)]
pub struct VirtualSource {
    revision: Cell<u64>,
    /// Every change: its revision and kind, and the change.
    changes: RefCell<Vec<(u64, ItemKind, ItemChange)>>,
    changed: Notify,
    cuts: Cell<u32>,
    /// Calls that were made, by node.
    calls: RefCell<BTreeMap<usize, usize>>,
    /// Times at which the connections of a node fell silent, so many of all nodes.
    silences: RefCell<BTreeMap<usize, u32>>,
    /// Kept connections of a node that are silent and not yet found out.
    silent_kept: RefCell<BTreeMap<usize, u32>>,
    /// Changes up to this revision are forgotten.
    forgotten: Cell<u64>,
    /// Until then nothing is answered.
    frozen_until: Cell<Option<Instant>>,
    /// By how much the answers to a node are late.
    lateness: RefCell<BTreeMap<usize, Duration>>,
    /// Stale lists show what was there at this revision; the newest one without.
    stale_at: Cell<Option<u64>>,
    /// Nodes that have no way to the source.
    cut_off: RefCell<BTreeSet<usize>>,
    /// An answer to a watch holds so many changes at most; any number without.
    answer_length: Cell<Option<usize>>,
}

impl VirtualSource {
    /// A configuration, one engine, and the first version of its weights.
    pub fn new(engines: impl IntoIterator<Item = EngineEntry>) -> Rc<Self> {
        let source = Rc::new(Self::default());
        source.revision.set(100);
        source.configure(1);
        for entry in engines {
            source.put(ItemKind::Engines, Item::Engine(entry));
        }
        source.name_weights(1);
        source
    }

    fn put(&self, kind: ItemKind, item: Item) {
        self.append(kind, ItemChange::Present(item));
    }

    fn append(&self, kind: ItemKind, change: ItemChange) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.changes.borrow_mut().push((revision, kind, change));
        self.changed.notify_waiters();
    }

    /// An engine says that it leaves.
    pub fn drain(&self, mut entry: EngineEntry) {
        entry.state = EngineState::Draining;
        self.put(ItemKind::Engines, Item::Engine(entry));
    }

    /// The entry of an engine goes.
    pub fn remove(&self, name: &str) {
        self.append(ItemKind::Engines, ItemChange::Gone(name.to_owned()));
    }

    /// A version of the weights is named.
    pub fn name_weights(&self, version: u64) {
        let named = NamedWeights {
            model: MODEL.to_owned(),
            version,
        };
        self.put(ItemKind::Weights, Item::Weights(named));
    }

    /// A configuration is put in force.
    pub fn configure(&self, version: u64) {
        let routes = vec![route(RequestKind::Safe)];
        let table = table(version, routes).with_document(version.to_string());
        let configuration = Item::Configuration(Rc::new(table));
        self.put(ItemKind::Configuration, configuration);
    }

    /// From now on stale lists show what is there now.
    pub fn hold_back_stale_lists(&self) {
        self.stale_at.set(Some(self.revision.get()));
    }

    /// Changes until now are forgotten; those who wait are not told.
    pub fn forget_history(&self) {
        self.forgotten.set(self.revision.get());
    }

    /// From now on an answer to a watch holds so many changes at most, as where each is long.
    pub fn limit_answers(&self, changes: usize) {
        self.answer_length.set(Some(changes));
    }

    /// All watches that are open are cut, as the source may do at any time.
    pub fn cut_watches(&self) {
        self.cuts.set(self.cuts.get() + 1);
        self.changed.notify_waiters();
    }

    /// Nothing is answered for a time, and everything afterwards.
    pub fn freeze(&self, span: Duration) {
        self.frozen_until.set(Some(Instant::now() + span));
    }

    async fn thaw(&self) {
        if let Some(until) = self.frozen_until.get() {
            sleep_until(until).await;
        }
    }

    /// From now on answers reach this node so much later; nothing is lost.
    pub fn delay_answers(&self, node: usize, by: Duration) {
        self.lateness.borrow_mut().insert(node, by);
    }

    fn lateness_of(&self, node: usize) -> Duration {
        let lateness = self.lateness.borrow();
        lateness.get(&node).copied().unwrap_or_default()
    }

    /// From now on this node has a way to the source or none.
    pub fn set_reachable(&self, node: usize, is_reachable: bool) {
        match is_reachable {
            true => self.cut_off.borrow_mut().remove(&node),
            false => self.cut_off.borrow_mut().insert(node),
        };
    }

    /// Something changes that no kind of item holds, as when a lease is renewed.
    pub fn change_something_else(&self) {
        self.revision.set(self.revision.get() + 1);
    }

    /// The open connections of these nodes fall silent for good: calls in progress are never answered,
    /// nor is the next call of each, which goes on a kept connection. New connections work.
    pub fn silence(&self, nodes: impl IntoIterator<Item = usize>) {
        for node in nodes {
            *self.silences.borrow_mut().entry(node).or_default() += 1;
            self.silent_kept.borrow_mut().insert(node, 1);
        }
    }

    /// Calls of all nodes until now.
    pub fn calls(&self) -> usize {
        self.calls.borrow().values().sum()
    }

    fn count_call(&self, node: usize) {
        *self.calls.borrow_mut().entry(node).or_default() += 1;
    }

    fn is_on_silent_connection(&self, node: usize) -> bool {
        let mut silent_kept = self.silent_kept.borrow_mut();
        let left = silent_kept.entry(node).or_default();
        let is_silent = *left > 0;
        *left = left.saturating_sub(1);
        is_silent
    }

    fn silence_count(&self, node: usize) -> u32 {
        let silences = self.silences.borrow();
        silences.get(&node).copied().unwrap_or_default()
    }

    /// The answer to a watch from `revision`, for now.
    fn batch_after(&self, kind: ItemKind, revision: u64) -> ItemBatch {
        let changes = self.changes.borrow();
        let is_after = |at: u64, of: ItemKind| at > revision && of == kind;
        let after: Vec<_> = changes
            .iter()
            .filter(|(at, of, _)| is_after(*at, *of))
            .collect();
        let length = self.answer_length.get().unwrap_or(usize::MAX);
        let first = &after[..after.len().min(length)];
        let is_cut = first.len() < after.len();
        let last = first.last().filter(|_| is_cut);
        ItemBatch {
            // One configuration may fill an answer, so the next one would not be in it.
            is_whole: first.is_empty() || kind != ItemKind::Configuration && !is_cut,
            changes: first.iter().map(|(_, _, change)| change.clone()).collect(),
            revision: last.map_or(self.revision.get(), |(at, ..)| *at).into(),
        }
    }

    async fn list(&self, kind: ItemKind, consistency: Consistency) -> ItemPage {
        self.thaw().await;
        sleep(ANSWER_TIME).await;
        let newest = self.revision.get();
        let revision = match consistency {
            Consistency::Stale => self.stale_at.get().unwrap_or(newest),
            Consistency::Linearizable => newest,
        };
        ItemPage {
            items: self.items_at(kind, revision),
            next_after: None,
            revision: revision.into(),
        }
    }

    /// What was there at a revision.
    fn items_at(&self, kind: ItemKind, revision: u64) -> Vec<Item> {
        let mut items = BTreeMap::new();
        let changes = self.changes.borrow();
        let of_kind = changes
            .iter()
            .filter(|(at, of, _)| *at <= revision && *of == kind);
        for (_, _, change) in of_kind {
            match change {
                ItemChange::Present(item) => items.insert(name_of(item), item.clone()),
                ItemChange::Gone(name) => items.remove(name),
            };
        }
        items.into_values().collect()
    }

    async fn watch(
        &self,
        kind: ItemKind,
        revision: u64,
        wait: Duration,
    ) -> Result<ItemBatch, SourceError> {
        let until = Instant::now() + wait;
        let cuts = self.cuts.get();
        loop {
            self.thaw().await;
            if self.cuts.get() > cuts {
                let detail = "cut".to_owned();
                return Err(SourceError::Unavailable { detail });
            }
            if revision < self.forgotten.get() {
                sleep(ANSWER_TIME).await;
                return Err(SourceError::HistoryGone);
            }
            let changed = self.changed.notified();
            let batch = self.batch_after(kind, revision);
            let is_over = !batch.changes.is_empty() || Instant::now() >= until;
            if is_over {
                // What changes from here on is not in the answer.
                sleep(ANSWER_TIME).await;
                return Ok(batch);
            }
            // Its end is the end of the wait, which the next turn sees.
            let _ = timeout_at(until, changed).await;
        }
    }
}

/// The name of an item in the source.
fn name_of(item: &Item) -> String {
    match item {
        Item::Configuration(_) | Item::UnreadableConfiguration => "main".to_owned(),
        Item::Engine(entry) => entry.name.to_string(),
        Item::Unusable(name) => name.to_string(),
        Item::Weights(named) => named.model.clone(),
    }
}

/// One node's way to the source.
pub struct Way {
    /// Where it leads.
    pub source: Rc<VirtualSource>,
    /// Whose it is.
    pub node: usize,
}

impl Way {
    /// Answers only while the connection that the call began on has not fallen silent. A call that the
    /// source does not hold for long is repeated on a new connection, as the client does.
    async fn carry<T>(
        &self,
        hold: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, SourceError> {
        self.source.count_call(self.node);
        if self.source.cut_off.borrow().contains(&self.node) {
            return pending().await;
        }
        let silences = self.source.silence_count(self.node);
        if self.source.is_on_silent_connection(self.node) {
            if hold >= LONG_HOLD {
                return pending().await;
            }
            sleep(hold + KEPT_PATIENCE).await;
            self.source.count_call(self.node);
        }
        let answer = answer.await;
        sleep(self.source.lateness_of(self.node)).await;
        if self.source.silence_count(self.node) > silences {
            return pending().await;
        }
        Ok(answer)
    }
}

impl CatalogueSource for Way {
    fn list<'a>(
        &'a self,
        kind: ItemKind,
        consistency: Consistency,
        _after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<ItemPage, SourceError>> {
        self.carry(Duration::ZERO, self.source.list(kind, consistency))
            .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kind: ItemKind,
        revision: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<ItemBatch, SourceError>> {
        let answer = self.source.watch(kind, revision.number, wait);
        async move { self.carry(wait, answer).await? }.boxed_local()
    }
}
