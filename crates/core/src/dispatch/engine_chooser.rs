//! Selection of an engine for a request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identity::{DataCentreName, ZoneName};
use crate::placement::{
    CacheDirectory, CandidateOrder, DataCentreLatency, EngineKey, PlacementPoint, PoolMember,
};
use crate::timestamp::Timestamp;

use super::attempt_record::{Expectation, UncertainRange};
use super::candidate::Candidate;
use super::choice::{Choice, NoChoice};
use super::engine_record::EngineRecord;
use super::engine_table::EngineTable;
use super::exported_prefixes::ExportedPrefixes;
use super::known_holder::KnownHolder;
use super::pool_state::PoolState;
use super::request_record::RequestRecord;
use super::{DispatchParameters, KvExport, KvImport, Priority};

/// The search for engines that cache part of a prompt ends once this many are found.
const MAX_HOLDERS: usize = 8;

/// Chooses the engine with the lowest cost for a request, among the first engines in the
/// deterministic candidate order and those known to cache part of the prompt.
///
/// The cost is the estimated time to first token, expressed in prompt tokens to compute, plus a
/// penalty for recomputation and the cost of occupied KV memory. Running time depends on the number
/// of engines considered, not on the size of the pool, except that one rendezvous hash is computed
/// for every engine in the given data centres.
pub(super) struct EngineChooser<'a> {
    pub(super) parameters: &'a DispatchParameters,
    pub(super) engines: &'a EngineTable,
    pub(super) pool: &'a PoolState,
    pub(super) cache_directory: &'a CacheDirectory,
    pub(super) exported_prefixes: &'a ExportedPrefixes,
    pub(super) kv_store: Option<SocketAddr>,
    pub(super) data_centre_latencies: &'a DataCentreLatency,
    pub(super) zone: &'a ZoneName,
    pub(super) now: Timestamp,
}

impl EngineChooser<'_> {
    /// Chooses an engine from the first group of data centres that has one with room.
    pub(super) fn choose(
        &self,
        record: &RequestRecord,
        priority: Priority,
        groups: &[Vec<DataCentreName>],
    ) -> Result<Choice, NoChoice> {
        let mut error = NoChoice::NoEngine;
        for data_centres in groups {
            match self.choose_in(data_centres, record, priority) {
                Ok(choice) => return Ok(choice),
                Err(other) => error = error.or(other),
            }
        }
        Err(error)
    }

    /// Chooses an engine in these data centres. If none of the scored candidates has room, takes the
    /// first engine with room among the rest of the candidate order.
    fn choose_in(
        &self,
        data_centres: &[DataCentreName],
        record: &RequestRecord,
        priority: Priority,
    ) -> Result<Choice, NoChoice> {
        let index = &self.pool.index;
        let members = index.members();
        let positions: Vec<usize> = index.positions_in(data_centres).collect();
        let limit = self.parameters.candidate_limit;
        let key = placement_key(record);
        let order = CandidateOrder::new(members, positions, &record.widths, key, limit);
        let holders = self.known_holders(record);
        let is_first_in_order = |position: usize| order.positions().first() == Some(&position);
        let mut seen = BTreeSet::new();
        let mut candidates = Vec::new();
        let holder_positions = holders
            .iter()
            .filter_map(|holder| index.position(holder.engine))
            .filter(|position| data_centres.contains(&members[*position].back_end.data_centre));
        for position in holder_positions {
            let member = &members[position];
            if seen.insert(member.key) && self.is_usable(member, record) {
                candidates.push(self.candidate(
                    member,
                    is_first_in_order(position),
                    &holders,
                    record,
                    priority,
                ));
            }
        }
        let mut rest = order.positions().iter().copied();
        let mut scored = 0;
        for position in rest.by_ref() {
            let member = &members[position];
            if seen.insert(member.key) && self.is_usable(member, record) {
                candidates.push(self.candidate(
                    member,
                    is_first_in_order(position),
                    &holders,
                    record,
                    priority,
                ));
            }
            scored += 1;
            if scored >= self.parameters.scored_candidates && !candidates.is_empty() {
                break;
            }
        }
        if let Some(best) = self.best(&candidates, record) {
            return Ok(self.choice(best, record));
        }
        for position in rest {
            let member = &members[position];
            if !seen.insert(member.key) || !self.is_usable(member, record) {
                continue;
            }
            let candidate = self.candidate(
                member,
                is_first_in_order(position),
                &holders,
                record,
                priority,
            );
            if candidate.has_room {
                return Ok(self.choice(&candidate, record));
            }
            candidates.push(candidate);
        }
        let in_group = index
            .positions_in(data_centres)
            .map(|position| &members[position]);
        Err(self.no_choice(in_group, &candidates, record))
    }

    /// The candidate with room that has the lowest cost; candidates that meet the deadline come
    /// first.
    ///
    /// If none meets the deadline, cost still decides rather than time to first token: the fastest
    /// engine may be one that caches nothing of the prompt, and computing the prompt there would
    /// delay the requests queued behind it as well.
    fn best<'b>(
        &self,
        candidates: &'b [Candidate<'b>],
        record: &RequestRecord,
    ) -> Option<&'b Candidate<'b>> {
        let is_late = |candidate: &Candidate| {
            let first_token_at = self.now.after(candidate.first_token_in);
            record
                .profile
                .deadline
                .is_some_and(|deadline| first_token_at > deadline)
        };
        candidates
            .iter()
            .filter(|candidate| candidate.has_room)
            .min_by(|left, right| {
                let by_cost = left.cost.total_cmp(&right.cost);
                is_late(left).cmp(&is_late(right)).then(by_cost)
            })
    }

    /// Why none of `members` was chosen. `candidates` are those that could serve the request but
    /// have no room.
    fn no_choice<'b>(
        &self,
        members: impl Iterator<Item = &'b PoolMember>,
        candidates: &[Candidate<'_>],
        record: &RequestRecord,
    ) -> NoChoice {
        let fastest = candidates
            .iter()
            .map(|candidate| candidate.first_token_in)
            .min();
        if let Some(first_token_in) = fastest {
            return NoChoice::NoRoom { first_token_in };
        }
        members
            .filter(|member| !record.failed_engines.contains(&member.key))
            .filter_map(|member| self.available_at(member, record))
            .min()
            .map_or(NoChoice::NoEngine, |until| NoChoice::Unavailable { until })
    }

    /// When an engine that is not serving now may be tried again; `None` if it is not expected
    /// back.
    fn available_at(&self, member: &PoolMember, record: &RequestRecord) -> Option<Timestamp> {
        let engine = self.engines.get(member.key)?;
        if let Some(until) = engine.health.ejected_until() {
            return Some(until.max(self.now));
        }
        let has_other_weights =
            !engine.is_draining(self.now) && !engine.accepts(record.weights_version, self.now);
        (has_other_weights || !engine.health.is_serving()).then_some(self.now)
    }

    fn is_usable(&self, member: &PoolMember, record: &RequestRecord) -> bool {
        if record.failed_engines.contains(&member.key) {
            return false;
        }
        let Some(engine) = self.engines.get(member.key) else {
            return false;
        };
        if !engine.accepts(record.weights_version, self.now) {
            return false;
        }
        if !self.parameters.mechanisms.ejection || engine.health.is_serving() {
            return true;
        }
        // The outcome of a probe may be unknown, after which only a repeatable request can be
        // retried.
        record.is_repeatable() && engine.health.is_due_for_probe(self.now)
    }

    fn candidate<'b>(
        &self,
        member: &'b PoolMember,
        is_first_in_order: bool,
        holders: &[KnownHolder],
        record: &RequestRecord,
        priority: Priority,
    ) -> Candidate<'b> {
        let engine = &self
            .engines
            .get(member.key)
            .expect("usable engines are known");
        let known = holders.iter().find(|holder| holder.engine == member.key);
        let shared = record.points.deepest_shared();
        let known_cached = known.map_or(0, |holder| holder.tokens);
        let uncertain_range = shared
            .map(|shared| UncertainRange {
                priority: record.profile.priority,
                start: f64::from(known_cached).max(self.widely_cached_tokens(holders)),
                end: f64::from(shared.end_tokens),
            })
            .filter(|range| is_first_in_order && range.end > range.start);
        let expected_cached = self.expected_cached(known_cached, uncertain_range, holders);
        let prompt = f64::from(record.profile.prompt_tokens);
        let import = self.import_beyond(expected_cached, record);
        let (uncached_tokens, import_cost) = match import {
            Some(point) => (
                prompt - f64::from(point.end_tokens),
                self.import_cost(f64::from(point.end_tokens) - expected_cached),
            ),
            None => (prompt - expected_cached, 0.0),
        };
        let uncached_tokens = uncached_tokens.max(1.0);
        let tokens_ahead = engine.tokens_ahead(
            priority,
            self.pool.prefill_speed.tokens_per_second(),
            self.pool.mean_uncached_tokens.value(),
            self.now,
        );
        let latency = self.latency(member);
        let tokens_until_first_token = tokens_ahead + uncached_tokens + import_cost;
        let kv_memory_cost = self.kv_memory_cost(engine);
        let penalty = uncached_tokens * self.parameters.recompute_penalty(priority);
        Candidate {
            member,
            is_probe: !engine.health.is_serving(),
            has_room: self.has_room(engine, record, priority),
            cost: tokens_until_first_token
                + self.pool.tokens_in(latency)
                + kv_memory_cost
                + penalty,
            first_token_in: self.pool.prefill_time(tokens_until_first_token) + latency,
            import: import.map(|point| (point.hash, point.end_tokens)),
            expectation: Expectation {
                known_cached,
                known_age: known.map(|holder| (holder.age, holder.epoch)),
                uncertain_range,
                uncached_tokens: uncached_tokens as u32,
                tokens_ahead,
                imported: import.map(|point| (point.hash, point.end_tokens)),
                exported: None,
            },
        }
    }

    /// Cost, in prompt tokens to compute, of the KV memory that other requests occupy or wait for.
    ///
    /// The part for waiting requests is bounded: when all queues are long, differences between them
    /// must not outweigh recomputation, because recomputation would increase the overload further.
    fn kv_memory_cost(&self, engine: &EngineRecord) -> f64 {
        let parameters = self.parameters;
        let waiting = engine.waiting(self.now).min(parameters.max_waiting_counted);
        engine.running(self.now) * parameters.tokens_per_running_request
            + waiting * parameters.tokens_per_waiting_request
    }

    fn has_room(&self, engine: &EngineRecord, record: &RequestRecord, priority: Priority) -> bool {
        // The caller of an interrupted stream already has part of the answer, so it doesn't queue
        // again.
        record.delivered_chunks > 0
            || !self.parameters.mechanisms.engine_windows
            || engine.window.admits(priority, engine.in_flight)
    }

    /// Prompt tokens expected in an engine's cache, the maximum of: those this process sent there;
    /// a share of a widely cached prefix; and, for the first engine in candidate order, those that
    /// other router processes are likely to have sent there.
    fn expected_cached(
        &self,
        known_cached: u32,
        uncertain_range: Option<UncertainRange>,
        holders: &[KnownHolder],
    ) -> f64 {
        let known = f64::from(known_cached);
        if !self.parameters.mechanisms.cache_prior {
            return known;
        }
        let widely_cached =
            self.widely_cached_tokens(holders) * self.parameters.widely_cached_credit;
        let likely_cached = uncertain_range.map_or(0.0, |range| {
            let share = self
                .pool
                .cache_hit_estimate
                .expected(range.priority, range.tokens());
            range.start + share * range.tokens()
        });
        known.max(widely_cached).max(likely_cached)
    }

    /// Length in tokens of the longest widely cached prefix, which any engine may have cached.
    fn widely_cached_tokens(&self, holders: &[KnownHolder]) -> f64 {
        let mut tokens: Vec<u32> = holders.iter().map(|holder| holder.tokens).collect();
        tokens.sort_unstable_by(|left, right| right.cmp(left));
        tokens
            .get(self.parameters.widely_cached_min_engines - 1)
            .map_or(0.0, |tokens| f64::from(*tokens))
    }

    fn latency(&self, member: &PoolMember) -> Duration {
        let data_centre_latency = self.data_centre_latencies.to(&member.back_end.data_centre);
        if member.back_end.zone == *self.zone {
            data_centre_latency
        } else {
            data_centre_latency.max(self.parameters.zone_latency)
        }
    }

    /// The longest prefix in the KV store, if importing it is faster than computing the part of it
    /// beyond the `cached` tokens.
    fn import_beyond(&self, cached: f64, record: &RequestRecord) -> Option<PlacementPoint> {
        self.kv_store?;
        let point = self
            .exported_prefixes
            .longest(record.points.all(), self.now)?;
        let gained = f64::from(point.end_tokens) - cached;
        let is_worthwhile = gained >= f64::from(self.parameters.kv_minimum_tokens)
            && self.import_cost(gained) < gained;
        is_worthwhile.then_some(point)
    }

    /// Cost of importing `tokens`: the prompt tokens that could be computed in the same time.
    fn import_cost(&self, tokens: f64) -> f64 {
        let transfer = tokens / self.parameters.kv_import_tokens_per_second;
        let transfer = Duration::from_secs_f64(transfer.max(0.0));
        self.pool
            .tokens_in(self.parameters.kv_import_latency + transfer)
    }

    /// Engines expected to cache part of the prompt, each with the longest cached prefix.
    fn known_holders(&self, record: &RequestRecord) -> Vec<KnownHolder> {
        let mut holders: Vec<KnownHolder> = Vec::new();
        if !self.parameters.mechanisms.cache_directory {
            return holders;
        }
        for point in record.points.all().iter().rev() {
            let epoch_of = |key: EngineKey| self.engines.epoch_of(key);
            for holder in self.cache_directory.holders(point.hash, epoch_of) {
                let age = self.now.since(holder.used_at);
                let is_kept = self
                    .engines
                    .get(holder.engine)
                    .is_some_and(|engine| engine.retention.covers(age));
                let is_new = holders.iter().all(|known| known.engine != holder.engine);
                if is_kept && is_new {
                    holders.push(KnownHolder {
                        engine: holder.engine,
                        tokens: point.end_tokens,
                        age,
                        epoch: holder.epoch,
                    });
                }
            }
            if holders.len() >= MAX_HOLDERS {
                break;
            }
        }
        holders
    }

    fn choice(&self, candidate: &Candidate<'_>, record: &RequestRecord) -> Choice {
        let kv_export = self.export_after(record);
        let kv_import = candidate.import.zip(self.kv_store);
        Choice {
            engine: candidate.member.key,
            back_end: candidate.member.back_end.clone(),
            is_probe: candidate.is_probe,
            first_token_in: candidate.first_token_in,
            kv_import: kv_import.map(|((prefix, tokens), store)| KvImport {
                store,
                prefix,
                tokens,
            }),
            kv_export,
            expectation: Expectation {
                exported: kv_export.map(|export| export.prefix),
                ..candidate.expectation
            },
        }
    }

    /// The export to request with this attempt: the longest shared prefix, if an earlier request had
    /// it too and it is not in the KV store yet.
    fn export_after(&self, record: &RequestRecord) -> Option<KvExport> {
        let store = self.kv_store?;
        let shared = record.points.shared().last()?;
        let is_worthwhile = record.is_recurring
            && shared.end_tokens >= self.parameters.kv_minimum_tokens
            && !self.exported_prefixes.is_stored(shared.hash, self.now);
        is_worthwhile.then_some(KvExport {
            store,
            prefix: shared.hash,
            tokens: shared.end_tokens,
        })
    }
}

/// Hash key of the candidate order for a request: its longest shared prefix, or the request id when
/// it has no shared prefix.
fn placement_key(record: &RequestRecord) -> u64 {
    record.points.deepest_shared().map_or_else(
        || xxhash_rust::xxh3::xxh3_64(record.profile.request.as_str().as_bytes()),
        |point| point.hash.0,
    )
}
