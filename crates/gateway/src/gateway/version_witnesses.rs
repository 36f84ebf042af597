//! Engines on which the recorded versions rest; see docs/design/continuations.md.

use std::collections::{BTreeMap, BTreeSet};

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::SETTLING_TIME;
use ryerouter_core::identity::PoolName;
use ryerouter_core::release::SoftwareVersion;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::version_records::WRITER_DISCOVERY_TIME;
use super::{Gateway, GatewayState};
use crate::continuation::{VersionRecord, Witness};
use crate::engines::{Engine, EngineEntry};

/// Maximum number of witnesses of a record.
const MAX_WITNESSES: usize = 8;
/// A record is written again when fewer of its witnesses are in service, if there are other engines.
const MIN_WITNESSES: usize = 2;

impl Gateway {
    /// Settles what records prove whose witnesses this node has not seen in service. A list that is complete and holds
    /// none of them leaves open what served since they left.
    pub(super) fn settle_unproven_records(&self, state: &mut GatewayState, now: Timestamp) {
        let is_older_node_heard = self.hears_older_node(state);
        let is_complete = state.is_engine_list_current(SETTLING_TIME, now)
            && self.uptime() >= WRITER_DISCOVERY_TIME;
        let unproven = std::mem::take(&mut state.continuations.versions.unproven_at_start);
        for (pool, record) in unproven {
            if is_older_node_heard {
                info!(self.log(), "version_record_proven"; "pool" => %pool, "by" => "older_node");
            } else if has_witness(state, &record, now) {
                info!(self.log(), "version_record_proven"; "pool" => %pool, "by" => "witness");
            } else if !is_complete {
                let versions = &mut state.continuations.versions;
                versions.unproven_at_start.insert(pool, record);
            } else if state.continuations.history.note_incomplete(&pool, now) {
                info!(self.log(), "version_record_unproven"; "pool" => %pool);
                self.announce_streams(state, &pool, now);
            }
        }
    }

    /// Whether so few witnesses of a pool's record are in service that it is to be written with others.
    pub(super) fn lacks_witnesses(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) -> bool {
        let versions = &state.continuations.versions;
        let Some(stored) = versions.recorded(pool) else {
            return false;
        };
        if !may_name_witnesses(state, pool, now) {
            return false;
        }
        let record = &stored.record;
        let possible = possible_witnesses(state, pool, &record.versions, now);
        let possible: Vec<_> = possible.collect();
        let present = possible.iter().filter(|engine| witnesses(record, engine));
        let present: Vec<_> = present.collect();
        let wanted = possible.len().min(MAX_WITNESSES);
        let software = |engine: &&Engine| engine.entry.software.clone();
        let of_versions: BTreeSet<_> = possible.iter().map(software).collect();
        let present_of: BTreeSet<_> = present.iter().copied().map(software).collect();
        // The engines of a version often leave together.
        let lacks_version = of_versions.len() <= MAX_WITNESSES && of_versions != present_of;
        lacks_version || present.len() < wanted.div_ceil(2).max(wanted.min(MIN_WITNESSES))
    }

    /// The witnesses that a record of these versions names. Those that are stored stay while this node can't tell
    /// whether a version served that nobody recorded.
    pub(super) fn witnesses_of(
        &self,
        state: &GatewayState,
        pool: &PoolName,
        versions: &BTreeSet<SoftwareVersion>,
        now: Timestamp,
    ) -> BTreeSet<Witness> {
        if !may_name_witnesses(state, pool, now) {
            let stored = state.continuations.versions.recorded(pool);
            return stored.map_or_else(BTreeSet::new, |stored| stored.record.witnesses.clone());
        }
        let possible = possible_witnesses(state, pool, versions, now);
        let mut possible: Vec<_> = possible.collect();
        // Nodes that write the same pool choose the same ones.
        possible.sort_by_cached_key(|engine| xxh3_64(engine.entry.name.as_str().as_bytes()));
        let chosen = spread_over_versions(possible)
            .into_iter()
            .take(MAX_WITNESSES);
        chosen.map(|engine| witness_of(&engine.entry)).collect()
    }
}

/// Orders engines so that each version has one before any has a second one, and so on: the engines of a version often
/// leave together.
fn spread_over_versions(engines: Vec<&Engine>) -> Vec<&Engine> {
    let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
    let mut ranked: Vec<_> = engines
        .into_iter()
        .map(|engine| {
            let count = counts.entry(&engine.entry.software).or_default();
            *count += 1;
            (*count, engine)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, engine)| engine).collect()
}

/// Whether this node knows which versions served a pool before it was started.
pub(super) fn knows_past(state: &GatewayState, pool: &PoolName, now: Timestamp) -> bool {
    let versions = &state.continuations.versions;
    let unproven = versions.unproven_at_start.get(pool);
    let is_proven = unproven.is_none_or(|record| has_witness(state, record, now));
    let is_incomplete = state.continuations.history.is_incomplete(pool, now);
    is_proven && versions.has_read_past(pool) && !is_incomplete
}

/// Whether an engine that witnesses a record is in service now. The first list after a start may be some seconds old, and
/// an engine that it holds may have left since.
pub(super) fn has_witness(state: &GatewayState, record: &VersionRecord, now: Timestamp) -> bool {
    let mut engines = state.engines.of_pool(&record.pool);
    state.is_engine_list_current(SETTLING_TIME, now)
        && engines.any(|engine| witnesses(record, engine))
}

fn may_name_witnesses(state: &GatewayState, pool: &PoolName, now: Timestamp) -> bool {
    let unproven = &state.continuations.versions.unproven_at_start;
    !unproven.contains_key(pool) && state.is_engine_list_current(SETTLING_TIME, now)
}

/// Engines of these versions that are in service and that each node whose list is current knows.
fn possible_witnesses<'a>(
    state: &'a GatewayState,
    pool: &PoolName,
    versions: &'a BTreeSet<SoftwareVersion>,
    now: Timestamp,
) -> impl Iterator<Item = &'a Engine> {
    let engines = state.engines.of_pool(pool);
    engines.filter(move |engine| {
        let is_settled = now.since(engine.listed_at) >= SETTLING_TIME;
        is_settled && is_listed_in_service(engine) && versions.contains(&engine.entry.software)
    })
}

fn witnesses(record: &VersionRecord, engine: &Engine) -> bool {
    let entry = &engine.entry;
    let is_named = record.witnesses.contains(&witness_of(entry));
    is_named && record.versions.contains(&entry.software) && is_listed_in_service(engine)
}

/// Nodes that start later don't know an engine whose entry has expired.
fn is_listed_in_service(engine: &Engine) -> bool {
    engine.is_in_service() && !engine.is_unlisted
}

fn witness_of(entry: &EngineEntry) -> Witness {
    Witness {
        engine: entry.name.clone(),
        incarnation: entry.incarnation,
    }
}
