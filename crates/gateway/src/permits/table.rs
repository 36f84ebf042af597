//! State of permits at a node.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, PoolName};
use ryerouter_core::permit::Number;
use tokio::sync::oneshot;

use super::{Answer, Held, Issued};
use crate::peers::NodeIdentity;

/// Engines that are new in a pool are taken to be as fragile as the others were within this time.
const POOL_MEMORY: Duration = Duration::from_secs(10);
/// An issuer that has not answered is not asked for this time.
const SILENT_TIME: Duration = Duration::from_millis(500);

/// Bits of a permit's number that count within one incarnation of the node.
const NUMBER_BITS: u32 = 24;

/// Since when engines of a pool have been fragile.
#[derive(Debug, Clone, Copy)]
struct FragileSpan {
    since: Timestamp,
    seen_at: Timestamp,
}

/// State of permits at a node.
#[derive(Debug, Default)]
pub struct Table {
    /// Permits that this node holds, needed or not: those in use when an engine turns fragile are reported, too.
    pub held: BTreeMap<BackEndName, Held>,
    /// Permits that this node issues.
    pub issued: BTreeMap<BackEndName, Issued>,
    /// Requests for permits that wait for an answer.
    pub pending: HashMap<Number, oneshot::Sender<Answer>>,
    /// Engines that other nodes have found fragile, which has not been acted on yet.
    pub newly_fragile: Vec<BackEndName>,
    fragile_pools: BTreeMap<PoolName, FragileSpan>,
    silent_until: HashMap<SocketAddr, Timestamp>,
    last_number: Number,
}

impl Table {
    /// A table of the process with this incarnation. Its numbers differ from those of the processes before it.
    pub fn new(incarnation: u64) -> Self {
        Self {
            last_number: incarnation << NUMBER_BITS,
            ..Self::default()
        }
    }

    /// The process of a node that had `former` as its identity has ended; `incarnation` is that of its successor.
    pub fn note_ended(&mut self, former: &NodeIdentity, incarnation: u64, now: Timestamp) {
        let is_of_former = |number: Number| !is_of_process(number, incarnation);
        for issued in self.issued.values_mut() {
            let issuer = &mut issued.issuer;
            issuer.end_process(&former.peer_address, is_of_former, now);
        }
    }

    /// A number for a new permit.
    pub fn next_number(&mut self) -> Number {
        self.last_number += 1;
        self.last_number
    }

    /// Records that an engine of a pool is fragile, and has been since `since`.
    pub fn note_fragile(&mut self, pool: &PoolName, since: Timestamp, now: Timestamp) {
        let new = FragileSpan {
            since,
            seen_at: now,
        };
        let span = self.fragile_pools.entry(pool.clone()).or_insert(new);
        span.since = span.since.min(since);
        span.seen_at = now;
    }

    /// Since when engines of a pool have been fragile; `None` when none has been lately.
    pub fn fragile_since(&self, pool: &PoolName) -> Option<Timestamp> {
        self.fragile_pools.get(pool).map(|span| span.since)
    }

    /// The pools with fragile engines.
    pub fn fragile_pools(&self) -> Vec<PoolName> {
        self.fragile_pools.keys().cloned().collect()
    }

    /// Forgets pools without fragile engines, and issuers that did not answer long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.fragile_pools
            .retain(|_, span| now.since(span.seen_at) < POOL_MEMORY);
        self.silent_until.retain(|_, until| now < *until);
    }

    /// Records that an issuer has not answered.
    pub fn note_silent(&mut self, issuer: SocketAddr, now: Timestamp) {
        self.silent_until.insert(issuer, now.after(SILENT_TIME));
    }

    /// Whether an issuer has not answered a moment ago.
    pub fn is_silent(&self, issuer: SocketAddr, now: Timestamp) -> bool {
        self.silent_until
            .get(&issuer)
            .is_some_and(|until| now < *until)
    }
}

/// Whether a permit got its number in the process with this incarnation.
fn is_of_process(number: Number, incarnation: u64) -> bool {
    number >> NUMBER_BITS == (incarnation << NUMBER_BITS) >> NUMBER_BITS
}
