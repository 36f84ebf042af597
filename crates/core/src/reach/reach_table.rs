//! What nodes know together of engines that are out of reach.

use std::collections::BTreeMap;
use std::time::Duration;

use super::hearings::Hearings;
use super::pending::Pending;
use super::reach_record::ReachRecord;
use super::{Doubt, EngineView, Fleet, ReachChange, ReachNews, Reporter, Sighting, TrustCause};
use crate::identity::{BackEndName, Incarnation};
use crate::placement::{name_hash, rendezvous_score};
use crate::timestamp::Timestamp;

/// A failure to reach an engine is evidence for this time after the attempt began. An engine that
/// stays silent is removed from the list by then.
pub const DOUBT_LAPSE: Duration = Duration::from_secs(4);
/// A failed attempt becomes evidence only if another engine answers within this time.
const CONFIRMATION_TIME: Duration = Duration::from_millis(500);
/// Number of engines that must have answered since a failed attempt began before it becomes evidence.
const MIN_REACHED: usize = 3;
/// Engines that must have answered for so many that a node failed to reach.
const REACHED_PER_FAILURES: (usize, usize) = (3, 2);
/// Time until the first probe of a doubted engine, at the nodes that probe it.
const FIRST_PROBE: Duration = Duration::from_millis(250);
/// Number of nodes that probe a doubted engine before the doubt lapses. They tell the others.
const PROBERS: usize = 8;
/// Reporters of an engine beyond which only probers report further failures.
const SUFFICIENT_REPORTERS: usize = 4;
/// Minimum time between two reports of one node about one engine.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of engines for which observations are kept.
const MAX_RECORDS: usize = 1024;
/// Maximum number of failed attempts that wait for an answer of another engine.
const MAX_PENDING: usize = 64;

/// What nodes know together of engines that are out of reach, as held by one node.
#[derive(Debug)]
pub struct ReachTable {
    own: Reporter,
    records: BTreeMap<BackEndName, ReachRecord>,
    pending: BTreeMap<BackEndName, Pending>,
    hearings: Hearings,
    /// Own failures to tell, and how often each was told.
    unreached_updates: BTreeMap<BackEndName, u32>,
    /// Whether others know of failures of this node.
    has_told_failures: bool,
    /// Whether others must be told that these prove nothing.
    is_retraction_due: bool,
    /// Engines heard from, to tell, and how often each was told.
    heard_updates: BTreeMap<BackEndName, u32>,
    /// Number of engines that are doubted.
    doubted_count: usize,
}

impl ReachTable {
    /// An empty table of the node `own`.
    pub fn new(own: Reporter) -> Self {
        Self {
            own,
            records: BTreeMap::new(),
            pending: BTreeMap::new(),
            hearings: Hearings::default(),
            unreached_updates: BTreeMap::new(),
            has_told_failures: false,
            is_retraction_due: false,
            heard_updates: BTreeMap::new(),
            doubted_count: 0,
        }
    }

    /// Whether an engine is doubted.
    pub fn is_doubted(&self, engine: &BackEndName) -> bool {
        self.doubted_since(engine).is_some()
    }

    /// Since when an engine is doubted; `None` while it is not.
    pub fn doubted_since(&self, engine: &BackEndName) -> Option<Timestamp> {
        self.records.get(engine)?.doubted_since
    }

    /// Number of engines that are doubted.
    pub fn doubted_count(&self) -> usize {
        self.doubted_count
    }

    /// Whether every engine can be reached, as far as known.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.records.is_empty()
    }

    /// Whether there is something to tell other nodes.
    pub fn has_news(&self) -> bool {
        let has_updates = !self.unreached_updates.is_empty() || !self.heard_updates.is_empty();
        has_updates || self.is_retraction_due
    }

    /// Records that an attempt of this node to reach an engine, which began at `began_at`, timed out.
    ///
    /// It counts once others have answered since the attempt began, one of them after it failed, and
    /// they are at least half as many again as those that failed: otherwise this node may be cut off itself.
    pub fn note_unreached(
        &mut self,
        name: &BackEndName,
        engine: EngineView,
        began_at: Timestamp,
        fleet: Fleet,
        now: Timestamp,
    ) {
        let has_answered = engine.heard_at >= Some(began_at);
        if has_answered || self.pending.len() >= MAX_PENDING {
            return;
        }
        let pending = Pending {
            engine,
            began_at,
            failed_at: now,
        };
        self.pending.insert(name.clone(), pending);
        self.is_retraction_due |= self.has_told_failures && self.is_cut_off(fleet);
        self.has_told_failures &= !self.is_retraction_due;
    }

    /// Records that this node received a part of an engine's answer.
    pub fn note_heard(
        &mut self,
        name: &BackEndName,
        fleet: Fleet,
        now: Timestamp,
    ) -> Vec<ReachChange> {
        self.hearings.note(name, now);
        if self.is_idle() {
            return Vec::new();
        }
        self.pending.remove(name);
        let mut changes = self.confirm_pending(fleet, now);
        let Some(record) = self.records.get_mut(name) else {
            return changes;
        };
        record.note_heard(now);
        record.own_heard_at = Some(now);
        self.unreached_updates.remove(name);
        self.tell_heard(name, fleet, now);
        changes.extend(self.review(name, fleet, now));
        changes
    }

    /// Turns failed attempts into evidence, since an answer shows that this node is not cut off.
    fn confirm_pending(&mut self, fleet: Fleet, now: Timestamp) -> Vec<ReachChange> {
        self.expire_pending(now);
        if self.pending.is_empty() || !self.is_credible(fleet) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (name, pending) in std::mem::take(&mut self.pending) {
            if now.since(pending.failed_at) >= CONFIRMATION_TIME {
                continue;
            }
            let own = self.own.clone();
            let Some(record) = self.record(&name, &pending.engine) else {
                continue;
            };
            record.note_unreached(&own, pending.began_at);
            self.tell_unreached(&name, fleet, now);
            changes.extend(self.review(&name, fleet, now));
        }
        changes
    }

    fn expire_pending(&mut self, now: Timestamp) {
        self.pending
            .retain(|_, pending| now.since(pending.began_at) < DOUBT_LAPSE);
    }

    /// Whether failures of this node are more likely to be those of engines than its own: since the
    /// first of them began, it has heard from more engines than it failed to reach.
    fn is_credible(&self, fleet: Fleet) -> bool {
        let (reached, unreached) = self.reached_and_unreached(fleet);
        let needed = (unreached * REACHED_PER_FAILURES.0).div_ceil(REACHED_PER_FAILURES.1);
        unreached == 0 || reached >= needed.max(MIN_REACHED) && !is_most(unreached, fleet)
    }

    /// Whether this node is probably cut off itself. A node that is neither credible nor cut off tells
    /// nothing, but what it told stands.
    fn is_cut_off(&self, fleet: Fleet) -> bool {
        let (reached, unreached) = self.reached_and_unreached(fleet);
        unreached > reached || is_most(unreached, fleet)
    }

    /// Numbers of engines that this node has heard from since its first failure began, and of those
    /// that it failed to reach. Late connections count as failures, since most of them will fail.
    fn reached_and_unreached(&self, fleet: Fleet) -> (usize, usize) {
        let failures = self.own_failures();
        let Some(first) = failures.iter().min() else {
            return (0, 0);
        };
        let reached = self.hearings.engines_since(*first);
        (reached, failures.len() + fleet.unconnected)
    }

    /// When the attempts of this node began that failed to reach engines from which it has not heard
    /// since.
    fn own_failures(&self) -> Vec<Timestamp> {
        let records = self.records.values();
        let reported = records.filter_map(|record| record.own_failure(self.own.id));
        let pending = self.pending.values().map(|pending| pending.began_at);
        reported.chain(pending).collect()
    }

    /// The record of an engine, created if there is room. A record of another incarnation is replaced.
    fn record(&mut self, name: &BackEndName, engine: &EngineView) -> Option<&mut ReachRecord> {
        let is_former = |record: &ReachRecord| !is_same(record.incarnation, engine.incarnation);
        if self.records.get(name).is_some_and(is_former) {
            self.forget(name);
        }
        if !self.records.contains_key(name) && self.records.len() >= MAX_RECORDS {
            return None;
        }
        let record = self.records.entry(name.clone());
        Some(record.or_insert_with(|| ReachRecord::new(engine)))
    }

    fn tell_unreached(&mut self, name: &BackEndName, fleet: Fleet, now: Timestamp) {
        let is_prober = self.is_prober(name, fleet);
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let reporters = record
            .doubt(&self.own.site)
            .map_or(0, |doubt| doubt.reporters);
        let is_known = reporters > SUFFICIENT_REPORTERS && !is_prober;
        let is_recent = record
            .reported_at
            .is_some_and(|at| now.since(at) < MIN_REPORT_INTERVAL);
        if is_known || is_recent {
            return;
        }
        record.reported_at = Some(now);
        self.heard_updates.remove(name);
        self.unreached_updates.insert(name.clone(), 0);
    }

    /// Queues the news that this node hears from an engine that others could not reach. Few nodes tell
    /// it, since otherwise all that reach the engine would.
    fn tell_heard(&mut self, name: &BackEndName, fleet: Fleet, now: Timestamp) {
        let is_prober = self.is_prober(name, fleet);
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let is_told = record
            .told_heard_at
            .is_some_and(|at| now.since(at) < MIN_REPORT_INTERVAL);
        if is_prober && !is_told && record.is_contested(&self.own.site) {
            record.told_heard_at = Some(now);
            self.heard_updates.insert(name.clone(), 0);
        }
    }

    /// Whether this node is one of those that probe a doubted engine early.
    fn is_prober(&self, name: &BackEndName, fleet: Fleet) -> bool {
        let score = rendezvous_score(self.own.id, name_hash(name)) as f64 / u64::MAX as f64;
        score * fleet.nodes as f64 <= PROBERS as f64
    }

    /// Applies what another node tells. `view` gives what this node knows of an engine, `None` for one
    /// that it does not know.
    pub fn receive(
        &mut self,
        from: &Reporter,
        news: &ReachNews,
        fleet: Fleet,
        view: impl Fn(&BackEndName) -> Option<EngineView>,
        now: Timestamp,
    ) -> Vec<ReachChange> {
        if from.id == self.own.id {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for sighting in &news.heard {
            let is_current = view(&sighting.engine)
                .is_some_and(|engine| is_same(engine.incarnation, sighting.incarnation));
            if let Some(record) = self
                .records
                .get_mut(&sighting.engine)
                .filter(|_| is_current)
            {
                record.note_heard(sighting.at);
                record.told_heard_at = record.told_heard_at.max(Some(now));
                changes.extend(self.review(&sighting.engine, fleet, now));
            }
        }
        if !news.is_credible {
            changes.extend(self.forget_reporter(from.id, fleet, now));
            return changes;
        }
        for sighting in &news.unreached {
            let Some(engine) = view(&sighting.engine) else {
                continue;
            };
            let is_current = is_same(engine.incarnation, sighting.incarnation);
            if !is_current || now.since(sighting.at) >= DOUBT_LAPSE {
                continue;
            }
            let Some(record) = self.record(&sighting.engine, &engine) else {
                continue;
            };
            record.heard_at = record.heard_at.max(engine.heard_at);
            record.note_unreached(from, sighting.at);
            if engine.heard_at > Some(sighting.at) {
                self.tell_heard(&sighting.engine, fleet, now);
            }
            changes.extend(self.review(&sighting.engine, fleet, now));
        }
        changes
    }

    /// Drops what a node has told: one that reaches hardly any engine is cut off itself.
    fn forget_reporter(&mut self, id: u64, fleet: Fleet, now: Timestamp) -> Vec<ReachChange> {
        let names: Vec<_> = self.records.keys().cloned().collect();
        let mut changes = Vec::new();
        for name in names {
            if let Some(record) = self.records.get_mut(&name) {
                record.forget_reporter(id);
            }
            changes.extend(self.review(&name, fleet, now));
        }
        changes
    }

    /// Lets old evidence lapse.
    pub fn tick(&mut self, fleet: Fleet, now: Timestamp) -> Vec<ReachChange> {
        self.expire_pending(now);
        let names: Vec<_> = self.records.keys().cloned().collect();
        let mut changes = Vec::new();
        for name in names {
            changes.extend(self.review(&name, fleet, now));
        }
        self.records.retain(|_, record| record.has_reports());
        changes
    }

    /// Decides anew whether an engine is doubted.
    fn review(&mut self, name: &BackEndName, fleet: Fleet, now: Timestamp) -> Option<ReachChange> {
        let is_prober = self.is_prober(name, fleet);
        let has_room = !is_most(self.doubted_count + 1, fleet);
        let record = self.records.get_mut(name)?;
        record.expire(DOUBT_LAPSE, now);
        let doubt = record.doubt(&self.own.site);
        match (doubt, record.doubted_since) {
            (Some(doubt), None) if has_room => {
                record.doubted_since = Some(now);
                record.confirmed_by = doubt.newest;
                self.doubted_count += 1;
                Some(ReachChange::Doubted {
                    engine: name.clone(),
                    doubt,
                    probe_at: probe_at(&doubt, is_prober, now),
                })
            }
            (Some(doubt), Some(_)) if doubt.newest > record.confirmed_by => {
                record.confirmed_by = doubt.newest;
                // A node that probes goes by the results of its own probes.
                (!is_prober).then(|| ReachChange::Confirmed {
                    engine: name.clone(),
                    probe_at: probe_at(&doubt, is_prober, now),
                })
            }
            (None, Some(since)) => {
                record.doubted_since = None;
                self.doubted_count -= 1;
                let cause = match record.heard_at >= Some(record.confirmed_by) {
                    true => TrustCause::Heard,
                    false => TrustCause::Lapsed,
                };
                Some(ReachChange::Trusted {
                    engine: name.clone(),
                    cause,
                    doubted: now.since(since),
                })
            }
            _ => None,
        }
    }

    /// Drops everything known of an engine, which has restarted or left the list.
    pub fn forget(&mut self, name: &BackEndName) {
        self.pending.remove(name);
        self.unreached_updates.remove(name);
        self.heard_updates.remove(name);
        let record = self.records.remove(name);
        let was_doubted = record.is_some_and(|record| record.doubted_since.is_some());
        self.doubted_count -= usize::from(was_doubted);
    }

    /// Takes the next news for other nodes, about at most `max` engines. Each is taken `transmissions`
    /// times. `None` when there is nothing to tell.
    pub fn take_news(&mut self, max: usize, transmissions: u32, fleet: Fleet) -> Option<ReachNews> {
        if !self.has_news() {
            return None;
        }
        let is_cut_off = self.is_cut_off(fleet);
        let is_retraction = std::mem::take(&mut self.is_retraction_due) && is_cut_off;
        if !self.is_credible(fleet) {
            self.unreached_updates.clear();
        }
        let heard = take(&mut self.heard_updates, max, transmissions);
        let left = max - heard.len();
        let unreached = take(&mut self.unreached_updates, left, transmissions);
        self.has_told_failures |= !unreached.is_empty();
        let heard = heard.iter().filter_map(|name| {
            let record = self.records.get(name)?;
            Some(sighting(name, record, record.heard_at?))
        });
        let unreached = unreached.iter().filter_map(|name| {
            let record = self.records.get(name)?;
            Some(sighting(
                name,
                record,
                record.unanswered_report_of(self.own.id)?,
            ))
        });
        let news = ReachNews {
            is_credible: !is_cut_off,
            heard: heard.collect(),
            unreached: unreached.collect(),
        };
        let has_content = !news.heard.is_empty() || !news.unreached.is_empty();
        (has_content || is_retraction).then_some(news)
    }
}

/// When a doubted engine may be probed: soon at few nodes, elsewhere when the doubt lapses.
fn probe_at(doubt: &Doubt, is_prober: bool, now: Timestamp) -> Timestamp {
    match is_prober {
        true => now.after(FIRST_PROBE),
        false => doubt.newest.after(DOUBT_LAPSE),
    }
}

/// Whether `count` is more than half of all engines.
fn is_most(count: usize, fleet: Fleet) -> bool {
    count * 2 > fleet.engines
}

/// An unknown incarnation proves nothing.
fn is_same(known: Option<Incarnation>, told: Option<Incarnation>) -> bool {
    known.is_none() || told.is_none() || known == told
}

fn sighting(name: &BackEndName, record: &ReachRecord, at: Timestamp) -> Sighting {
    Sighting {
        engine: name.clone(),
        incarnation: record.incarnation,
        at,
    }
}

/// Takes at most `max` names, and removes those that have been taken `transmissions` times.
fn take(
    queue: &mut BTreeMap<BackEndName, u32>,
    max: usize,
    transmissions: u32,
) -> Vec<BackEndName> {
    let names: Vec<_> = queue.keys().take(max).cloned().collect();
    for name in &names {
        if let Some(taken) = queue.get_mut(name) {
            *taken += 1;
        }
    }
    queue.retain(|_, taken| *taken < transmissions);
    names
}
