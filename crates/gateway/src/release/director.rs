//! Directs releases: evaluates the evidence, sends grants, and records outcomes; see docs/design/releases.md.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::{self, Grant, Order, Outcome, Progress, Record, RejectedVersions};
use slog::{info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::director_event::DirectorEvent;
use super::end_announcement::announce_ends;
use super::order_announcement::announce_orders;
use super::order_follower::OrderFollower;
use super::record_reader::RecordReader;
use super::recorded_grant::recorded_rejections;
use super::stage_log::{log_stage, record_answers};
use super::{DirectedRelease, KnownOrder, Orders, RecordState};
use crate::gateway::Gateway;
use crate::source::{FollowSettings, OrderedRelease, Recorded, ReleaseStore, SourceError};

/// Interval at which the evidence is evaluated. A version whose answers are bad must get no more requests after
/// a few seconds. They include this interval, and the time that reports of answers and grants take to reach
/// other nodes.
const TICK: Duration = Duration::from_millis(100);
/// Delay before an order is read again after a call to write its record or to read it has failed.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum factor by which consecutive failures lengthen the timeout for an answer of the source, which may be
/// slow rather than unavailable.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Directs releases while this node holds the order lease, until the future is dropped. Returns at once if the
/// settings of the gateway contain none for releases.
pub async fn run_releases(
    gateway: Rc<Gateway>,
    store: Rc<dyn ReleaseStore>,
    settings: FollowSettings,
) {
    let Some(release_settings) = gateway.settings().releases.clone() else {
        return;
    };
    let orders = Rc::new(RefCell::new(Orders::default()));
    let follower = OrderFollower::new(
        Rc::clone(&gateway),
        Rc::clone(&store),
        settings.clone(),
        Rc::clone(&orders),
    );
    let reader = RecordReader {
        gateway: Rc::clone(&gateway),
        store: Rc::clone(&store),
        answer_timeout: settings.answer,
        orders: Rc::clone(&orders),
        next_reads: BTreeMap::new(),
        next_list: None,
    };
    let (sender, events) = unbounded_channel();
    let director = Director {
        gateway,
        store,
        release_settings,
        answer_timeout: settings.answer,
        orders,
        directed: BTreeMap::new(),
        grants: 0,
        sender,
    };
    tokio::join!(follower.run(), reader.run(), director.run(events));
}

struct Director {
    gateway: Rc<Gateway>,
    store: Rc<dyn ReleaseStore>,
    release_settings: release::Settings,
    /// Timeout for an answer of the source, before consecutive failures lengthen it.
    answer_timeout: Duration,
    orders: Rc<RefCell<Orders>>,
    /// Releases that this node directs.
    directed: BTreeMap<PoolName, DirectedRelease>,
    /// Number of grants sent so far.
    grants: u64,
    sender: UnboundedSender<DirectorEvent>,
}

impl Director {
    async fn run(mut self, mut events: UnboundedReceiver<DirectorEvent>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => {
                    if let Some(event) = event {
                        self.handle(event);
                        self.tick();
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        let is_following = self.orders.borrow().revision().is_some();
        if !is_following || self.gateway.is_leaving() {
            self.directed.clear();
            return;
        }
        let orders = self.orders.borrow().clone();
        self.gateway.note_release_work(orders.has_open());
        match self.gateway.valid_order_fence() {
            Some(fence) => self.direct(&orders, fence),
            // The grants expire by themselves, and the next holder of the lease resumes the releases.
            None => {
                self.directed.clear();
                announce_orders(&self.gateway, &orders);
            }
        }
        announce_ends(&self.gateway, &orders);
    }

    fn direct(&mut self, orders: &Orders, fence: u64) {
        let now = self.gateway.clock().now();
        self.withdraw(orders, fence, now);
        self.directed.retain(|pool, directed| {
            let known = orders.of(pool).filter(|known| known.is_open());
            known.is_some_and(|known| known.release.order == *directed.progress.order())
        });
        for known in orders.iter().filter(|known| known.is_open()) {
            let pool = &known.release.order.pool;
            if !self.directed.contains_key(pool) {
                let directed = self.start(&known.release, now);
                self.directed.insert(pool.clone(), directed);
            }
            self.advance(known, fence, now);
            self.record(known, now);
        }
    }

    /// Ends the releases whose orders the operator has withdrawn.
    fn withdraw(&mut self, orders: &Orders, fence: u64, now: Timestamp) {
        let revision = orders.revision().unwrap_or_default();
        for (pool, directed) in &mut self.directed {
            if orders.of(pool).is_some() {
                continue;
            }
            let before = directed.progress.stage();
            directed.progress.withdraw();
            info!(self.gateway.log(), "release_stage"; "pool" => %pool,
                "target" => &directed.progress.order().target, "from" => %before,
                "to" => %directed.progress.stage(),
                "elapsed_ms" => directed.progress.elapsed(now).as_millis() as u64);
            self.grants += 1;
            if let Some(grant) = directed.next_grant(revision, fence, self.grants, now) {
                self.gateway.publish_grant(grant);
            }
        }
    }

    /// Starts to direct a release, or resumes it from what this node knows of it if another node, or this one, has
    /// directed it before.
    fn start(&self, release: &OrderedRelease, now: Timestamp) -> DirectedRelease {
        let order = &release.order;
        let release_settings = self.release_settings.clone();
        let resumed = self.gateway.resumed_release(order, &release_settings);
        let is_resumed = resumed.is_some();
        let progress =
            resumed.unwrap_or_else(|| Progress::new(order.clone(), release_settings, now));
        info!(self.gateway.log(), "release_ordered"; "pool" => %order.pool,
            "target" => &order.target, "ramp_ms" => order.ramp.as_millis() as u64,
            "made" => order.made, "revision" => release.revision, "is_resumed" => is_resumed,
            "stage" => %progress.stage(), "elapsed_ms" => progress.elapsed(now).as_millis() as u64);
        DirectedRelease::new(progress)
    }

    fn advance(&mut self, known: &KnownOrder, fence: u64, now: Timestamp) {
        let release = &known.release;
        let order = &release.order;
        let fleet = self.gateway.release_fleet(order);
        let counts = self.gateway.release_counts(order);
        let Some(directed) = self.directed.get_mut(&order.pool) else {
            return;
        };
        let before = directed.progress.stage();
        let has_changed = directed.progress.advance(&fleet, &counts, now);
        let number = self.grants + 1;
        let grant = directed.next_grant(release.revision, fence, number, now);
        if has_changed {
            log_stage(
                &self.gateway,
                &directed.progress,
                before,
                &fleet,
                &counts,
                now,
            );
        }
        if let Some(grant) = grant {
            self.grants = number;
            record_answers(&self.gateway, order, &counts);
            let rejected = self.rejected_versions(release);
            self.gateway.publish_grant(Grant { rejected, ..grant });
        }
    }

    /// The other versions of an order's pool that are rejected, as far as this node or the record tells.
    fn rejected_versions(&self, release: &OrderedRelease) -> RejectedVersions {
        let known = self.gateway.rejected_versions(&release.order);
        let knows_former = self.gateway.known_grant(&release.order.pool).is_some();
        known.unwrap_or_else(|| recorded_rejections(release, knows_former))
    }

    /// Updates the record in the source to the outcome of the release.
    fn record(&mut self, known: &KnownOrder, now: Timestamp) {
        let order = &known.release.order;
        let Some(directed) = self.directed.get_mut(&order.pool) else {
            return;
        };
        let call_timeout = self.answer_timeout * (directed.failures + 1).min(MAX_TIMEOUT_FACTOR);
        match directed.record {
            RecordState::Known => {
                let Some(outcome) = directed.next_record(known.recorded()) else {
                    return;
                };
                directed.record = RecordState::Pending;
                let record = Record {
                    target: order.target.clone(),
                    outcome,
                    rejected: self.rejected_versions(&known.release),
                };
                self.call_record(known.release.clone(), record, call_timeout);
            }
            RecordState::Uncertain(read_at) if read_at <= now => {
                directed.record = RecordState::Pending;
                self.call_read(&known.release, call_timeout);
            }
            RecordState::Pending | RecordState::Uncertain(_) => {}
        }
    }

    fn call_record(&self, release: OrderedRelease, record: Record, call_timeout: Duration) {
        let (store, sender) = (Rc::clone(&self.store), self.sender.clone());
        spawn_local(async move {
            let recorded = timeout(call_timeout, store.record(&release, &record)).await;
            // Without a receiver this node has stopped directing.
            let _ = sender.send(DirectorEvent::Recorded {
                order: release.order.clone(),
                outcome: record.outcome,
                result: recorded.unwrap_or(Err(SourceError::NoAnswer)),
            });
        });
    }

    fn call_read(&self, release: &OrderedRelease, call_timeout: Duration) {
        let (store, sender) = (Rc::clone(&self.store), self.sender.clone());
        let (pool, revision) = (release.order.pool.clone(), release.revision);
        spawn_local(async move {
            let read = timeout(call_timeout, store.read(&pool)).await;
            let result = read.unwrap_or(Err(SourceError::NoAnswer));
            // Without a receiver this node has stopped directing.
            let _ = sender.send(DirectorEvent::Read {
                pool,
                revision,
                result,
            });
        });
    }

    fn handle(&mut self, event: DirectorEvent) {
        match event {
            DirectorEvent::Recorded {
                order,
                outcome,
                result,
            } => self.apply_recorded(&order, outcome, result),
            DirectorEvent::Read {
                pool,
                revision,
                result,
            } => self.apply_read(&pool, revision, result),
        }
    }

    fn apply_recorded(
        &mut self,
        order: &Order,
        outcome: Outcome,
        result: Result<Recorded, SourceError>,
    ) {
        let log = self.gateway.log();
        let now = self.gateway.clock().now();
        let directed = self.directed.get_mut(&order.pool);
        let directed = directed.filter(|directed| directed.progress.order() == order);
        let failure = match result {
            Ok(Recorded::Written(release)) => {
                info!(log, "release_recorded"; "pool" => %order.pool, "target" => &order.target,
                    "outcome" => %outcome, "revision" => release.revision);
                if self.orders.borrow().revision().is_some() {
                    self.orders.borrow_mut().apply_recorded(release);
                }
                if let Some(directed) = directed {
                    directed.record = RecordState::Known;
                    directed.has_recorded = true;
                    directed.failures = 0;
                }
                return;
            }
            Ok(Recorded::Conflict) => "the order has changed since it was read".to_owned(),
            Err(error) => error.to_string(),
        };
        warn!(log, "release_record_failed"; "pool" => %order.pool, "target" => &order.target,
            "outcome" => %outcome, "error" => failure);
        if let Some(directed) = directed {
            directed.record = RecordState::Uncertain(now.after(RECORD_RETRY_DELAY));
            directed.failures += 1;
        }
    }

    fn apply_read(
        &mut self,
        pool: &PoolName,
        revision: u64,
        result: Result<Option<OrderedRelease>, SourceError>,
    ) {
        let now = self.gateway.clock().now();
        let directed = self.directed.get_mut(pool);
        match result {
            Ok(release) => {
                if self.orders.borrow().revision().is_some() {
                    let mut orders = self.orders.borrow_mut();
                    orders.apply_read(pool, revision, release);
                }
                if let Some(directed) = directed {
                    directed.record = RecordState::Known;
                }
            }
            Err(error) => {
                info!(self.gateway.log(), "release_record_unread"; "pool" => %pool,
                    "error" => %error);
                if let Some(directed) = directed {
                    directed.record = RecordState::Uncertain(now.after(RECORD_RETRY_DELAY));
                    directed.failures += 1;
                }
            }
        }
    }
}
