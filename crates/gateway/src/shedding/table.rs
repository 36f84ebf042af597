//! Shedders of the pools at a node.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use ryerouter_core::Timestamp;
use ryerouter_core::admission::shedding::{Load, Peers, Pool, Request, Shedder, Usage, Verdict};
use ryerouter_core::identity::PoolName;

use super::{PoolLoadUpdate, PoolReport};

/// A node reports the load of a pool from this share of its even part of the pool's capacity on. Below, the pool is far from
/// being short of capacity.
const MIN_REPORTED_SHARE: f64 = 0.1;
/// A node reports work that waits from this share of what its even part of the capacity begins in a second.
const MIN_REPORTED_WAITING: f64 = 0.03;

/// Shedder of one pool.
#[derive(Debug)]
pub struct PoolShedder {
    shedder: Rc<RefCell<Shedder>>,
    pool: Pool,
    peers: Peers,
    /// Decisions since the last report.
    decided: Cell<u32>,
    /// Refusals since the last report.
    refused: Cell<u32>,
}

impl PoolShedder {
    fn new(pool: Pool) -> Self {
        Self {
            shedder: Rc::default(),
            pool,
            peers: Peers::alone(),
            decided: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    fn decide(&self, request: &Request<'_>, now: Timestamp) -> Verdict {
        if self.pool.nominal <= 0.0 {
            return Verdict::Admitted;
        }
        let mut shedder = self.shedder.borrow_mut();
        let verdict = shedder.decide(request, &self.pool, &self.peers, now);
        self.decided.set(self.decided.get() + 1);
        if verdict != Verdict::Admitted {
            self.refused.set(self.refused.get() + 1);
        }
        verdict
    }

    /// The load at all nodes, with the decisions since the last report.
    pub fn take_report(&self, now: Timestamp) -> PoolReport {
        let mut shedder = self.shedder.borrow_mut();
        PoolReport {
            total: shedder.load(&self.peers, now).total(),
            own: shedder.own_load(now).total(),
            capacity: shedder.capacity(&self.pool),
            decided: self.decided.take(),
            refused: self.refused.take(),
            nodes: self.peers.nodes,
            is_uninformed: self.peers.is_uninformed,
        }
    }
}

/// Shedders of the pools at a node, and the load that other nodes report.
#[derive(Debug, Default)]
pub struct Shedders {
    pools: BTreeMap<PoolName, PoolShedder>,
}

impl Shedders {
    /// Sets the pools. A pool may be without any capacity for a moment, while all of its engines are ejected.
    pub fn set_pools(&mut self, pools: impl Iterator<Item = (PoolName, Pool)>) {
        let mut previous = std::mem::take(&mut self.pools);
        for (name, pool) in pools {
            let known = previous.remove(&name);
            let mut shedder = known.unwrap_or_else(|| PoolShedder::new(pool));
            shedder.pool = pool;
            self.pools.insert(name, shedder);
        }
    }

    /// Sets the load that other nodes report, and learns the capacities of the pools from it.
    pub fn set_peers(
        &mut self,
        nodes: usize,
        is_uninformed: bool,
        mut others: HashMap<PoolName, Load>,
        now: Timestamp,
    ) {
        for (pool, shedder) in &mut self.pools {
            shedder.peers = Peers {
                nodes,
                is_uninformed,
                others: others.remove(pool).unwrap_or_default(),
            };
            let mut own = shedder.shedder.borrow_mut();
            own.update_capacity(&shedder.pool, &shedder.peers, now);
        }
    }

    /// Decides on a request; requests for other pools are admitted.
    pub fn decide(&self, pool: &PoolName, request: &Request<'_>, now: Timestamp) -> Verdict {
        let known = self.pools.get(pool);
        known.map_or(Verdict::Admitted, |known| known.decide(request, now))
    }

    /// Whether so much work waits at the pool that the order in which engines begin it matters.
    pub fn is_under_pressure(&self, pool: &PoolName) -> bool {
        let known = self.pools.get(pool);
        known.is_some_and(|known| known.shedder.borrow().is_under_pressure())
    }

    /// The shedder of a pool.
    pub fn shedder(&self, pool: &PoolName) -> Option<Rc<RefCell<Shedder>>> {
        self.pools.get(pool).map(|known| Rc::clone(&known.shedder))
    }

    /// All pools with their shedders.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolShedder)> {
        self.pools.iter()
    }

    /// Load at this node of the pools that are not far from being short of capacity, to be sent to the other nodes.
    pub fn updates(&self, now: Timestamp) -> Vec<PoolLoadUpdate> {
        let updates = self.pools.iter().filter_map(|(pool, known)| {
            let mut shedder = known.shedder.borrow_mut();
            let load = shedder.reported_load(now);
            let even_part = shedder.capacity(&known.pool) / known.peers.nodes.max(1) as f64;
            let total = load.total();
            let is_reported = total.asked.max(total.begun) >= even_part * MIN_REPORTED_SHARE
                || total.waiting >= even_part * MIN_REPORTED_WAITING;
            let is_empty = total == Usage::default();
            (is_reported && !is_empty).then(|| PoolLoadUpdate::new(pool, &load))
        });
        updates.collect()
    }
}
