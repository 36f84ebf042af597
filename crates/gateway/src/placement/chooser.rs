//! Chooses an engine for a request.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::ZoneName;
use ryerouter_core::placement::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::{EngineProfile, RoutingTable};
use crate::engines::{Engine, EngineTable};
use crate::rollout::WeightsDeadlines;

use super::{
    CandidateCost, HolderTable, KvFetch, KvHolder, PartKey, Placement, PlacementPrices,
    PlacementRequest, Prompt, PromptKeys, PromptVersion,
};

/// Fewest tokens that are worth fetching.
const LEAST_FETCHED_TOKENS: u32 = 64;
/// Fewest shared tokens that are worth saving to the store.
const LEAST_SAVED_TOKENS: u32 = 256;
/// An engine that used a part within this time has it still.
const LATELY: Duration = Duration::from_secs(2);
/// A part that was saved is expected in the store for so long.
const STORED_FOR: Duration = Duration::from_secs(20);
const BYTES_PER_GIGABYTE: f64 = 1e9;
const BYTES_PER_KILOBYTE: f64 = 1e3;
/// Bits in a megabit, and milliseconds in a second.
const BITS_PER_MS_AND_MEGABIT: f64 = 1e3;
/// Cost of an engine that is tried only to find out whether it serves again.
const PROBE_COST: f64 = 0.5;
/// Cost of an engine that is not in the list any more but may still serve.
const UNLISTED_COST: f64 = 5.0;
/// Cost of an engine that lately had no room.
const FULL_COST: f64 = 4.0;

/// Chooses the engine with the least cost; ties go to the first in rendezvous order.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// All engines.
    pub engines: &'a EngineTable,
    /// Who holds what.
    pub holders: &'a HolderTable,
    /// The configuration.
    pub table: &'a RoutingTable,
    /// Whether the store of kept KV cache answers, as far as known.
    pub is_store_up: bool,
    /// Until when older weights may be used.
    pub deadlines: &'a WeightsDeadlines,
    /// Prices.
    pub prices: &'a PlacementPrices,
    /// The zone of this process.
    pub zone: &'a ZoneName,
    /// Now.
    pub now: Timestamp,
}

struct Candidate<'a> {
    engine: &'a Engine,
    version: Option<&'a PromptVersion>,
    cached_tokens: u32,
    unread_tokens: u32,
    fetch: Option<KvFetch>,
    saves: bool,
    cost: CandidateCost,
    order: u64,
}

impl Chooser<'_> {
    /// The engine with the least cost, or `None` when no engine may take the request.
    pub fn choose(&self, request: &PlacementRequest<'_>) -> Option<Placement> {
        let profile = self.table.pool(request.pool)?.engine.as_ref();
        let versions = self.versions(request);
        // When all engines fail requests, any of them is better than none.
        let best = self
            .best(request, profile, &versions, |engine| {
                self.is_healthy(engine)
            })
            .or_else(|| self.best(request, profile, &versions, |_| true))?;
        Some(Placement {
            engine: best.engine.entry.name.clone(),
            address: best.engine.entry.address,
            weights: best.version.map(|version| version.weights),
            salt: best.version.map(|version| version.salt.clone()),
            keys: best
                .version
                .map_or_else(PromptKeys::default, |version| version.keys.clone()),
            cached_tokens: best.cached_tokens,
            unread_tokens: best.unread_tokens,
            fetch: best.fetch,
            saves: best.saves,
            cost: best.cost,
        })
    }

    fn best<'b>(
        &'b self,
        request: &PlacementRequest<'_>,
        profile: Option<&EngineProfile>,
        versions: &'b [PromptVersion],
        is_allowed: impl Fn(&Engine) -> bool,
    ) -> Option<Candidate<'b>> {
        self.engines
            .of_pool(request.pool)
            .filter(|engine| engine.takes_work(self.now))
            .filter(|engine| !request.tried.contains(&engine.entry.name))
            .filter(|engine| is_allowed(engine))
            .filter_map(|engine| self.candidate(engine, profile, versions, request))
            .min_by(|left, right| {
                let by_cost = left.cost.total().total_cmp(&right.cost.total());
                by_cost.then(right.order.cmp(&left.order))
            })
    }

    fn is_healthy(&self, engine: &Engine) -> bool {
        engine.health.is_serving() || engine.health.is_due_for_probe(self.now)
    }

    fn candidate<'b>(
        &self,
        engine: &'b Engine,
        profile: Option<&EngineProfile>,
        versions: &'b [PromptVersion],
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'b>> {
        match (request.prompt, profile) {
            (Some(prompt), Some(profile)) => {
                self.model_candidate(engine, prompt, profile, versions, request)
            }
            _ => Some(self.plain_candidate(engine, request)),
        }
    }

    fn plain_candidate<'b>(
        &self,
        engine: &'b Engine,
        request: &PlacementRequest<'_>,
    ) -> Candidate<'b> {
        let slots = f64::from(engine.entry.slots.max(1));
        let occupied = f64::from(engine.load().requests) / slots;
        let cost = CandidateCost {
            late: occupied * occupied * self.prices.at_target,
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
            saves: false,
            cost,
            order: rendezvous_score(xxh3_64(request.id.as_bytes()), engine.name_hash),
        }
    }

    fn model_candidate<'b>(
        &self,
        engine: &'b Engine,
        prompt: &Prompt,
        profile: &EngineProfile,
        versions: &'b [PromptVersion],
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'b>> {
        let weights = engine.weights_of(&prompt.model)?;
        let version = versions.iter().find(|known| known.weights == weights)?;
        let keys = &version.keys;
        let cached_tokens = self.held_tokens(engine, keys);
        let fetch = self.best_fetch(engine, keys, cached_tokens);
        let fetched = fetch.as_ref().map_or(0, |fetch| fetch.tokens);
        let known = cached_tokens + fetched;
        let unread_tokens = prompt.prompt_tokens.saturating_sub(known).max(1);
        let begins_at = self.now.after(self.begins_in(engine, unread_tokens));
        if !self.deadlines.allows(&prompt.model, weights, begins_at) {
            return None;
        }
        let mut cost = CandidateCost {
            late: self.lateness(engine, profile, unread_tokens, fetched, request),
            zone: self.zone_cost(engine, request),
            load: self.state_cost(engine) + self.crowding(engine, profile, prompt),
            ..CandidateCost::default()
        };
        if let Some(fetch) = &fetch {
            cost.moved = self.move_cost(engine, fetch, profile);
        }
        cost.reread = self.read_twice_cost(engine, version, known);
        Some(Candidate {
            engine,
            version: Some(version),
            saves: self.should_save(keys),
            order: version.order_of(engine),
            cached_tokens,
            unread_tokens,
            fetch,
            cost,
        })
    }

    /// What a prompt is under each version of the weights that candidates have.
    fn versions(&self, request: &PlacementRequest<'_>) -> Vec<PromptVersion> {
        let mut versions: Vec<PromptVersion> = Vec::new();
        let Some(prompt) = request.prompt else {
            return versions;
        };
        for engine in self.engines.of_pool(request.pool) {
            let Some(weights) = engine.weights_of(&prompt.model) else {
                continue;
            };
            let known = versions.iter().position(|known| known.weights == weights);
            let index = known.unwrap_or_else(|| {
                versions.push(PromptVersion::new(prompt, request, weights));
                versions.len() - 1
            });
            if engine.takes_work(self.now) && self.is_healthy(engine) {
                versions[index].consider_first_reader(engine);
            }
        }
        versions
    }

    /// Cost of reading shared parts that nobody is known to hold elsewhere than all nodes would.
    fn read_twice_cost(&self, engine: &Engine, version: &PromptVersion, known: u32) -> f64 {
        let shared = version.keys.shared().last();
        let missing = shared.map_or(0, |(_, tokens)| tokens.saturating_sub(known));
        if missing < LEAST_SAVED_TOKENS || version.is_first_reader(engine) {
            return 0.0;
        }
        f64::from(missing) * self.prices.reread_token * self.prices.read_twice_risk
    }

    /// Tokens of the longest prefix that an engine is known to hold.
    fn held_tokens(&self, engine: &Engine, keys: &PromptKeys) -> u32 {
        let holds = |key| {
            let mut holders = self.holders.of(key);
            holders.any(|(name, _)| *name == engine.entry.name)
        };
        let longest = keys.0.iter().rev().find(|(key, _)| holds(*key));
        longest.map_or(0, |(_, tokens)| *tokens)
    }

    /// Where to fetch what the engine lacks of the prompt: the longest prefix first, from an engine
    /// that used it lately, else from the store, else from any engine that once had it.
    fn best_fetch(&self, engine: &Engine, keys: &PromptKeys, cached: u32) -> Option<KvFetch> {
        for (key, tokens) in keys.0.iter().rev() {
            if tokens.saturating_sub(cached) < LEAST_FETCHED_TOKENS {
                return self.fetch_in_case(keys);
            }
            let tokens = tokens - cached;
            let lender = self.best_lender(engine, *key);
            if let Some((lender, used_at)) = lender
                && self.now.since(used_at) < LATELY
            {
                return Some(fetch_from(lender, tokens));
            }
            if self.is_stored(*key) {
                return self.fetch_from_store(tokens);
            }
            if let Some((lender, _)) = lender {
                return Some(fetch_from(lender, tokens));
            }
        }
        // Nobody is known to hold any of it, but earlier processes may have saved it.
        self.fetch_in_case(keys)
    }

    /// An engine that should have all shared parts may have dropped some: then it asks the store,
    /// else nothing moves.
    fn fetch_in_case(&self, keys: &PromptKeys) -> Option<KvFetch> {
        let shared = keys.shared().last().map_or(0, |(_, tokens)| *tokens);
        let is_worth = shared >= LEAST_SAVED_TOKENS;
        is_worth.then(|| self.fetch_from_store(0)).flatten()
    }

    fn best_lender(&self, engine: &Engine, key: PartKey) -> Option<(&Engine, Timestamp)> {
        let holders = self.holders.of(key);
        holders
            .filter_map(|(name, used_at)| Some((self.engines.get(name)?, used_at)))
            .filter(|(holder, _)| self.may_lend(holder, engine))
            .max_by_key(|(holder, used_at)| {
                let is_late = self.now.since(*used_at) < LATELY;
                (is_late, holder.entry.zone == engine.entry.zone, *used_at)
            })
    }

    fn is_stored(&self, key: PartKey) -> bool {
        let stored_at = self.holders.stored_at(key);
        stored_at.is_some_and(|at| self.now.since(at) < STORED_FOR)
    }

    fn fetch_from_store(&self, tokens: u32) -> Option<KvFetch> {
        let store = self.table.kv_store().filter(|_| self.is_store_up)?;
        Some(KvFetch {
            holder: KvHolder::Store,
            address: store.address,
            tokens,
        })
    }

    /// Shared parts that are worth it are saved once, by whoever reads them.
    fn should_save(&self, keys: &PromptKeys) -> bool {
        let Some((key, tokens)) = keys.shared().last() else {
            return false;
        };
        let has_store = self.table.kv_store().is_some() && self.is_store_up;
        has_store && *tokens >= LEAST_SAVED_TOKENS && !self.is_stored(*key)
    }

    fn may_lend(&self, holder: &Engine, borrower: &Engine) -> bool {
        let is_other = holder.entry.name != borrower.entry.name;
        let is_loading = holder.loading_until.is_some_and(|until| self.now < until);
        is_other && !is_loading && holder.health.is_serving() && !holder.is_unlisted
    }

    /// Longest time until a request begins there (estimate, on the safe side).
    fn begins_in(&self, engine: &Engine, unread_tokens: u32) -> Duration {
        let queued = f64::from(engine.load().unread_tokens) + f64::from(unread_tokens);
        Duration::from_secs_f64(2.0 * queued / self.prices.read_tokens_per_ms / 1e3)
    }

    fn lateness(
        &self,
        engine: &Engine,
        profile: &EngineProfile,
        unread_tokens: u32,
        fetched_tokens: u32,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let queued = f64::from(engine.load().unread_tokens) + f64::from(unread_tokens);
        let read_ms = queued / self.prices.read_tokens_per_ms;
        let fetched_bits = f64::from(fetched_tokens) * profile.kv_token_bytes * 8.0;
        let bits_per_ms = profile.link_megabits.max(1.0) * BITS_PER_MS_AND_MEGABIT;
        let first_token_ms = read_ms + fetched_bits / bits_per_ms;
        let target_ms = request.target_latency.as_secs_f64().max(0.001) * 1e3;
        let share = first_token_ms / target_ms;
        share * share * self.prices.at_target
    }

    fn zone_cost(&self, engine: &Engine, request: &PlacementRequest<'_>) -> f64 {
        if engine.entry.zone == *self.zone {
            return 0.0;
        }
        let kilobytes = (request.body_bytes as f64 / BYTES_PER_KILOBYTE).max(1.0);
        kilobytes * self.prices.kilobyte_across
    }

    fn move_cost(&self, engine: &Engine, fetch: &KvFetch, profile: &EngineProfile) -> f64 {
        let gigabytes = f64::from(fetch.tokens) * profile.kv_token_bytes / BYTES_PER_GIGABYTE;
        let zone = match &fetch.holder {
            KvHolder::Engine(name) => self.engines.get(name).map(|holder| &holder.entry.zone),
            KvHolder::Store => self.table.kv_store().map(|store| &store.zone),
        };
        let is_near = zone == Some(&engine.entry.zone);
        let price = match is_near {
            true => self.prices.moved_gigabyte,
            false => self.prices.moved_gigabyte_across,
        };
        gigabytes * price
    }

    /// Slots and KV memory in use; memory counts more the nearer it is to its end.
    fn crowding(&self, engine: &Engine, profile: &EngineProfile, prompt: &Prompt) -> f64 {
        let load = engine.load();
        let slots = f64::from(profile.slots.max(1));
        let occupied = f64::from(load.requests) / slots * self.prices.occupied;
        let needed = load.kv_tokens.saturating_add(prompt.prompt_tokens);
        let share = f64::from(needed) / f64::from(profile.kv_tokens.max(1));
        let beyond = (share - self.prices.crowded_share).max(0.0);
        occupied + beyond * self.prices.crowded
    }

    fn state_cost(&self, engine: &Engine) -> f64 {
        let mut cost = 0.0;
        if !engine.health.is_serving() {
            cost += PROBE_COST;
        }
        if engine.is_unlisted {
            cost += UNLISTED_COST;
        }
        if engine.full_until.is_some_and(|until| self.now < until) {
            cost += FULL_COST;
        }
        cost
    }
}

fn fetch_from(lender: &Engine, tokens: u32) -> KvFetch {
    KvFetch {
        holder: KvHolder::Engine(lender.entry.name.clone()),
        address: lender.entry.address,
        tokens,
    }
}
