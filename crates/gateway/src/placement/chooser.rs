//! Chooses the engine for a request.

mod costs;
mod sample;
mod sources;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::backpressure::ExclusionReason;
use ryerouter_core::identity::{BackEndName, PoolName, ZoneName};
use ryerouter_core::placement::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::{EngineProfile, RoutingTable};
use crate::engines::{Engine, EngineTable};
use crate::release::EngineFilter;
use crate::rollout::WeightsDeadlines;
use crate::topology::{Distance, Topology};

use self::sample::Sample;
use super::{
    CandidateCost, HolderTable, KvFetch, KvStores, Placement, PlacementPrices, PlacementRequest,
    PrefillSplit, Prompt, PromptForWeights, PromptKeys, is_prefill_heavy,
};

/// The best engine of a sample is accepted only below this cost. Otherwise all engines are
/// compared.
const MAX_SAMPLED_COST: f64 = 2.0;
/// A request that has been tried at more engines than this goes to no unhealthy one any more. Where no
/// engine can be reached, its caller learns so long before the deadline.
const MAX_TRIED_BEFORE_LAST_RESORT: usize = 2;

/// Chooses the engine with the lowest cost. Ties go to the engine that comes first in rendezvous
/// order.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// All engines.
    pub engines: &'a EngineTable,
    /// Which engines hold which prefixes.
    pub holders: &'a HolderTable,
    /// The routing configuration.
    pub table: &'a RoutingTable,
    /// Reachability of the KV stores, as far as known.
    pub kv_stores: &'a KvStores,
    /// Until when requests may still start on replaced weights.
    pub deadlines: &'a WeightsDeadlines,
    /// Longest delay with which requests of the pool started recently.
    pub max_recent_start_delay: Duration,
    /// Prices of the cost components.
    pub prices: &'a PlacementPrices,
    /// Which engines of the pool are reserved for prefill-heavy requests; `None` if all engines
    /// take all requests.
    pub prefill_split: Option<&'a PrefillSplit>,
    /// Whether the deployment has so many nodes that many of them choose engines from the same load
    /// reports at once.
    pub is_large: bool,
    /// The zone of this process.
    pub zone: &'a ZoneName,
    /// The region of each zone.
    pub topology: &'a Topology,
    /// Current time.
    pub now: Timestamp,
}

/// How unhealthy engines, which have failed requests recently, are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnhealthyEngines {
    /// They are used if no healthy engine can take the request.
    LastResort,
    /// They are never used, because the request has other engines to go to.
    Excluded,
}

/// An engine that can take the request, with the cost of sending the request there.
struct Candidate<'a> {
    engine: &'a Engine,
    /// The prompt under the engine's weights; `None` for plain requests.
    version: Option<&'a PromptForWeights>,
    cached_tokens: u32,
    unread_tokens: u32,
    fetch: Option<KvFetch>,
    save_to: Option<SocketAddr>,
    cost: CandidateCost,
    /// Rendezvous score; the higher one wins at equal cost.
    score: u64,
}

/// Where an engine gets the part of a prompt that it does not have to prefill.
struct Source {
    cached_tokens: u32,
    fetch: Option<KvFetch>,
    /// Delay of the fetch beyond the time of its transfer.
    delay: Duration,
}

impl Chooser<'_> {
    /// Returns the engine with the lowest cost, or `None` if no engine can take the request.
    pub fn choose(&self, request: &PlacementRequest<'_>) -> Option<Placement> {
        self.choose_among(request, &EngineFilter::Any, UnhealthyEngines::LastResort)
    }

    /// Like [`Self::choose`], but only among the engines that `filter` admits, which depends on the
    /// releases in progress.
    pub fn choose_among(
        &self,
        request: &PlacementRequest<'_>,
        filter: &EngineFilter,
        unhealthy: UnhealthyEngines,
    ) -> Option<Placement> {
        let profile = self.table.pool(request.pool)?.engine.as_ref();
        let versions = self.versions(request, filter);
        let sample = Sample::draw(self, request, &versions, filter);
        // A request that has failed elsewhere probes no engine: it would fail at one after the other.
        let may_probe = request.tried.is_empty();
        let is_healthy = |engine: &Engine| {
            let is_usable = engine.health.is_serving() || may_probe && self.is_healthy(engine);
            filter.admits(&engine.entry) && is_usable
        };
        let known = self.all_holders(&versions);
        let is_sampled = |engine: &Engine| {
            let is_known = || {
                versions.iter().any(|version| {
                    let is_home = version.has_weights_of(engine) && version.is_home_engine(engine);
                    is_home
                        || known.contains(&engine.entry.name) && self.holds_prefix(engine, version)
                })
            };
            (sample.includes(engine) || is_known()) && is_healthy(engine)
        };
        let may_use_unhealthy = unhealthy == UnhealthyEngines::LastResort
            && request.tried.len() <= MAX_TRIED_BEFORE_LAST_RESORT;
        let is_last_resort = |engine: &Engine| may_use_unhealthy && filter.admits(&engine.entry);
        let best = sample
            .is_limited()
            .then(|| self.best(request, profile, &versions, is_sampled))
            .flatten()
            .filter(|best| best.cost.total() < MAX_SAMPLED_COST)
            .or_else(|| self.best(request, profile, &versions, is_healthy))
            // If all engines are unhealthy, any of them is better than none.
            .or_else(|| self.best(request, profile, &versions, is_last_resort))?;
        Some(Placement {
            engine: best.engine.entry.name.clone(),
            incarnation: best.engine.entry.incarnation,
            software: best.engine.entry.software.clone(),
            address: best.engine.entry.address,
            weights: best.version.map(|version| version.weights),
            salt: best.version.map(|version| version.salt.clone()),
            keys: best
                .version
                .map_or_else(PromptKeys::default, |version| version.keys.clone()),
            cached_tokens: best.cached_tokens,
            unread_tokens: best.unread_tokens,
            fetch: best.fetch,
            save_to: best.save_to,
            cost: best.cost,
        })
    }

    /// The allowed engine with the lowest cost.
    fn best<'b>(
        &'b self,
        request: &PlacementRequest<'_>,
        profile: Option<&EngineProfile>,
        versions: &'b [PromptForWeights],
        is_allowed: impl Fn(&Engine) -> bool,
    ) -> Option<Candidate<'b>> {
        // While some engines limit or refuse requests, their load moves to the others. Full engines
        // are skipped then, because the additional load would make requests fail there too.
        let skip_full = self.has_excluded_engines(request.pool);
        self.engines
            .of_pool(request.pool)
            .filter(|engine| engine.takes_work(self.now))
            .filter(|engine| !skip_full || !is_full(engine, profile))
            .filter(|engine| !request.tried.contains(&engine.entry.name))
            .filter(|engine| is_allowed(engine))
            .filter_map(|engine| self.candidate(engine, profile, versions, request))
            .min_by(|left, right| {
                let by_cost = left.cost.total().total_cmp(&right.cost.total());
                by_cost.then(right.score.cmp(&left.score))
            })
    }

    /// Whether some engines of the pool limit or refuse requests at the moment, so that the other
    /// engines receive more. Engines that are shutting down don't count.
    fn has_excluded_engines(&self, pool: &PoolName) -> bool {
        let mut engines = self.engines.of_pool(pool);
        engines.any(|engine| {
            let exclusion = engine.condition.exclusion(self.now);
            exclusion.is_some_and(|exclusion| exclusion.reason != ExclusionReason::Leaving)
        })
    }

    /// Engines that are known to cache part of the prompt, under any version of the weights. They
    /// are few, so computing this set once is cheaper than searching the holders for each engine of
    /// a large pool.
    fn all_holders(&self, versions: &[PromptForWeights]) -> HashSet<&BackEndName> {
        let keys = versions.iter().flat_map(|version| &version.keys.0);
        let holders = keys.flat_map(|(key, _)| self.holders.of(*key));
        holders.map(|(name, _)| name).collect()
    }

    /// Whether an engine is known to cache a prefix of the prompt.
    fn holds_prefix(&self, engine: &Engine, version: &PromptForWeights) -> bool {
        version.has_weights_of(engine) && self.held_tokens(engine, &version.keys) > 0
    }

    /// The newest weights of the prompt's model, if some engines still have older ones that count
    /// as stale.
    fn newest_weights_during_rollout(
        &self,
        versions: &[PromptForWeights],
        prompt: &Prompt,
    ) -> Option<u64> {
        let weights = || versions.iter().map(|version| version.weights);
        let mut stale = weights().filter(|weights| self.stale_cost(&prompt.model, *weights) > 0.0);
        stale.next().and(weights().max())
    }

    /// Whether an engine is on the request's side of the prefill split; `true` for all engines if
    /// there is no split.
    fn matches_split(&self, engine: &Engine, request: &PlacementRequest<'_>) -> bool {
        match (self.prefill_split, request.prompt) {
            (Some(prefill_split), Some(prompt)) => {
                prefill_split.prefills(engine) == is_prefill_heavy(prompt, self.prices)
            }
            _ => true,
        }
    }

    /// Distance between this process and an engine.
    fn distance(&self, engine: &Engine) -> Distance {
        self.topology.distance(self.zone, &engine.entry.zone)
    }

    fn is_healthy(&self, engine: &Engine) -> bool {
        engine.is_healthy(self.now)
    }

    fn candidate<'b>(
        &self,
        engine: &'b Engine,
        profile: Option<&EngineProfile>,
        versions: &'b [PromptForWeights],
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'b>> {
        match (request.prompt, profile) {
            (Some(prompt), Some(profile)) => {
                self.model_candidate(engine, prompt, profile, versions, request)
            }
            _ => Some(self.plain_candidate(engine, request)),
        }
    }

    /// A candidate for a request without a prompt, or in a pool without an engine profile.
    fn plain_candidate<'b>(
        &self,
        engine: &'b Engine,
        request: &PlacementRequest<'_>,
    ) -> Candidate<'b> {
        let slots = f64::from(engine.entry.slots.max(1));
        let occupied = f64::from(engine.load().requests) / slots;
        let cost = CandidateCost {
            late: occupied * occupied * self.prices.first_token_at_target
                + self.delay_cost(engine, request),
            zone: self.zone_cost(engine, request),
            load: self.state_cost(engine),
            ..CandidateCost::default()
        };
        Candidate {
            engine,
            version: None,
            cached_tokens: 0,
            unread_tokens: 0,
            fetch: None,
            save_to: None,
            cost,
            score: rendezvous_score(xxh3_64(request.id.as_bytes()), engine.name_hash),
        }
    }

    /// A candidate for a prompt; `None` if the engine does not serve the prompt's model, or if the request might start
    /// on replaced weights after their deadline.
    fn model_candidate<'b>(
        &self,
        engine: &'b Engine,
        prompt: &Prompt,
        profile: &EngineProfile,
        versions: &'b [PromptForWeights],
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'b>> {
        let weights = engine.serving_weights_of(&prompt.model)?;
        let version = versions.iter().find(|known| known.weights == weights)?;
        let keys = &version.keys;
        let cached_tokens = self.held_tokens(engine, keys);
        let fetch = self.best_fetch(engine, version, cached_tokens);
        let delay = self.fetch_delay(fetch.as_ref(), request);
        let candidate = |fetch, delay| {
            let source = Source {
                cached_tokens,
                fetch,
                delay,
            };
            self.candidate_with(source, engine, prompt, profile, version, request)
        };
        if delay.is_zero() {
            return candidate(fetch, delay);
        }
        let lent = self.best_loan(engine, version, cached_tokens);
        // Ties go to the first: a slow store is used only where that is worth its delay.
        let alternatives = [
            candidate(None, Duration::ZERO),
            lent.and_then(|lent| candidate(Some(lent), Duration::ZERO)),
            candidate(fetch, delay),
        ];
        let alternatives = alternatives.into_iter().flatten();
        alternatives
            .min_by(|left, right| left.cost.prefix_cost().total_cmp(&right.cost.prefix_cost()))
    }

    /// A candidate that gets the cached part of the prompt in a given way.
    fn candidate_with<'b>(
        &self,
        source: Source,
        engine: &'b Engine,
        prompt: &Prompt,
        profile: &EngineProfile,
        version: &'b PromptForWeights,
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'b>> {
        let Source {
            cached_tokens,
            fetch,
            delay,
        } = source;
        let weights = version.weights;
        let fetched = fetch.as_ref().map_or(0, |fetch| fetch.tokens);
        let known = cached_tokens + fetched;
        let unread_tokens = prompt.prompt_tokens.saturating_sub(known).max(1);
        let starts_at = self.now.after(self.max_start_delay(engine, unread_tokens));
        if !self.deadlines.allows(&prompt.model, weights, starts_at) {
            return None;
        }
        let mut cost = CandidateCost {
            late: self.first_token_cost(
                engine,
                profile,
                unread_tokens,
                fetch.as_ref(),
                delay,
                request,
            ),
            pauses: self.pause_cost(engine, unread_tokens, request),
            stale: self.stale_cost(&prompt.model, weights),
            zone: self.zone_cost(engine, request),
            load: self.state_cost(engine) + self.occupancy_cost(engine, profile, prompt),
            ..CandidateCost::default()
        };
        if let Some(fetch) = &fetch {
            cost.moved = self.move_cost(engine, fetch, profile);
        }
        cost.reread = self.duplicate_prefill_cost(engine, version, known);
        Some(Candidate {
            engine,
            version: Some(version),
            save_to: self.save_to(engine, &version.keys, request),
            score: version.score_of(engine),
            cached_tokens,
            unread_tokens,
            fetch,
            cost,
        })
    }

    /// Computes the prompt's keys and home engines for each version of the weights that engines of
    /// the pool have.
    fn versions(
        &self,
        request: &PlacementRequest<'_>,
        filter: &EngineFilter,
    ) -> Vec<PromptForWeights> {
        let mut versions: Vec<PromptForWeights> = Vec::new();
        let Some(prompt) = request.prompt else {
            return versions;
        };
        let has_regions = self.topology.has_regions();
        for engine in self.engines.of_pool(request.pool) {
            let Some(weights) = engine.serving_weights_of(&prompt.model) else {
                continue;
            };
            let known = versions.iter().position(|known| known.weights == weights);
            let index = known.unwrap_or_else(|| {
                versions.push(PromptForWeights::new(prompt, request, weights, has_regions));
                versions.len() - 1
            });
            let may_be_home = engine.takes_work(self.now)
                && self.is_healthy(engine)
                && filter.admits(&engine.entry);
            if may_be_home && self.matches_split(engine, request) {
                versions[index].add_home_candidate(engine, self.distance(engine));
            }
        }
        versions
    }
}

/// Whether an engine has no free slot or no free KV memory.
fn is_full(engine: &Engine, profile: Option<&EngineProfile>) -> bool {
    let load = engine.load();
    profile.is_some_and(|profile| {
        load.requests >= profile.slots || load.kv_tokens >= profile.kv_tokens
    })
}
