//! Chooses an engine for a request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identity::{DataCentreName, ZoneName};
use crate::placement::{
    CacheKnowledge, CandidateOrder, EngineKey, PlacementPoint, PoolMember, SiteDistance,
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

/// Most engines with a known part of a prompt that are considered.
const MAX_HOLDERS: usize = 8;

/// Chooses an engine for a request: the one with the least cost among the first in the
/// deterministic order and those known to hold part of the prompt.
///
/// The cost is the estimated time to the first token, in prompt tokens to compute, plus a price for
/// recomputation. Work grows with the considered engines, not with all engines, but for one
/// rendezvous score for each engine of the data centre.
pub(super) struct EngineChooser<'a> {
    pub(super) parameters: &'a DispatchParameters,
    pub(super) engines: &'a EngineTable,
    pub(super) pool: &'a PoolState,
    pub(super) cache_directory: &'a CacheKnowledge,
    pub(super) exported_prefixes: &'a ExportedPrefixes,
    pub(super) kv_store: Option<SocketAddr>,
    pub(super) data_centre_latencies: &'a SiteDistance,
    pub(super) zone: &'a ZoneName,
    pub(super) now: Timestamp,
}

impl EngineChooser<'_> {
    /// Chooses an engine in the first of these groups of data centres that has one with room.
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
                Err(why) => error = error.or(why),
            }
        }
        Err(error)
    }

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

    /// The cheapest candidate with room, of those that meet the deadline where any does.
    ///
    /// When none does, the fastest would only be an engine that holds nothing of the prompt, and
    /// computing it there would make the requests behind it late as well.
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

    /// When an engine that does not serve now may be asked again.
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
        // A probe may end as unknown, which only a repeatable request can afford.
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
            .filter(|unknown| is_first_in_order && unknown.end > unknown.start);
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
        let until_first_token = tokens_ahead + uncached_tokens + import_cost;
        let kv_memory_cost = self.kv_memory_cost(engine);
        let price = uncached_tokens * self.parameters.recompute_price(priority);
        Candidate {
            member,
            is_probe: !engine.health.is_serving(),
            has_room: self.has_room(engine, record, priority),
            cost: until_first_token + self.pool.tokens_in(latency) + kv_memory_cost + price,
            first_token_in: self.pool.prefill_time(until_first_token) + latency,
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

    /// Tokens to compute that weigh as much as the KV memory that other requests occupy or wait for.
    ///
    /// The part for waiting requests is bounded: with long queues everywhere, their differences
    /// must not outweigh recomputation, or an overload would feed itself.
    fn kv_memory_cost(&self, engine: &EngineRecord) -> f64 {
        let parameters = self.parameters;
        let waiting = engine.waiting(self.now).min(parameters.max_waiting_counted);
        engine.running(self.now) * parameters.tokens_per_running_request
            + waiting * parameters.tokens_per_waiting_request
    }

    fn has_room(&self, engine: &EngineRecord, record: &RequestRecord, priority: Priority) -> bool {
        // The caller of a broken stream has part of the answer already and must not wait in line.
        record.delivered_chunks > 0
            || !self.parameters.mechanisms.engine_windows
            || engine.window.admits(priority, engine.in_flight)
    }

    /// Tokens expected in the cache of an engine: those this process sent there, or those of a
    /// prefix that is spread widely, and in the first engine in order those that other processes
    /// are likely to have sent there.
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
        let found = uncertain_range.map_or(0.0, |unknown| {
            let share = self
                .pool
                .cache_hit_estimate
                .expected(unknown.priority, unknown.tokens());
            unknown.start + share * unknown.tokens()
        });
        known.max(widely_cached).max(found)
    }

    /// Tokens of the longest prefix that so many engines are known to hold that any may.
    fn widely_cached_tokens(&self, holders: &[KnownHolder]) -> f64 {
        let mut tokens: Vec<u32> = holders.iter().map(|holder| holder.tokens).collect();
        tokens.sort_unstable_by(|left, right| right.cmp(left));
        tokens
            .get(self.parameters.widely_cached_min_engines - 1)
            .map_or(0.0, |tokens| f64::from(*tokens))
    }

    fn latency(&self, member: &PoolMember) -> Duration {
        let to_site = self.data_centre_latencies.to(&member.back_end.data_centre);
        if member.back_end.zone == *self.zone {
            to_site
        } else {
            to_site.max(self.parameters.zone_latency)
        }
    }

    /// The kept prefix whose import is faster than computing what the cache lacks of it.
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

    /// Prompt tokens that could be computed while so many are imported.
    fn import_cost(&self, tokens: f64) -> f64 {
        let transfer = tokens / self.parameters.kv_import_tokens_per_second;
        let transfer = Duration::from_secs_f64(transfer.max(0.0));
        self.pool
            .tokens_in(self.parameters.kv_import_latency + transfer)
    }

    /// Engines expected to hold part of the prompt, each with the longest part.
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

    /// A prefix that was asked for before is worth keeping, once.
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

/// The key that orders engines for a request: its longest shared prefix, or the request itself when
/// it has no prompt.
fn placement_key(record: &RequestRecord) -> u64 {
    record.points.deepest_shared().map_or_else(
        || xxhash_rust::xxh3::xxh3_64(record.profile.request.as_str().as_bytes()),
        |point| point.hash.0,
    )
}
