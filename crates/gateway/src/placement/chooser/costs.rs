//! Components of a candidate's cost.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::ZoneName;

use super::Chooser;
use crate::catalogue::EngineProfile;
use crate::engines::Engine;
use crate::placement::{
    KvFetch, KvHolder, MIN_SAVED_TOKENS, PlacementRequest, Prompt, PromptForWeights,
};
use crate::topology::Distance;

const BYTES_PER_GIGABYTE: f64 = 1e9;
const BYTES_PER_KILOBYTE: f64 = 1e3;
/// Converts megabits per second to bits per millisecond.
const BITS_PER_MS_PER_MEGABIT_PER_S: f64 = 1e3;
/// Factor by which a KV cache transfer takes longer between two zones of a region than within a zone.
/// The figure comes from the operators of the engines.
const MOVE_FACTOR_IN_REGION: f64 = 2.0;
/// Factor by which a KV cache transfer takes longer between regions than within a zone, also from
/// the operators of the engines.
const MOVE_FACTOR_REMOTE: f64 = 10.0;
/// Cost of an unhealthy engine that is tried to find out whether it serves requests again.
const PROBE_COST: f64 = 0.5;
/// Cost of an engine that is no longer in the engine list but may still serve requests.
const UNLISTED_COST: f64 = 5.0;
/// Share of streams that pause for too long when prefill takes exactly as long as the longest permitted pause.
/// The share rises roughly with the third power of the prefill time; for the measurements see
/// docs/design/shifted.md.
const PAUSE_RISK: f64 = 0.18;
/// Cost of an engine that recently refused a request for lack of capacity.
const FULL_COST: f64 = 4.0;

impl Chooser<'_> {
    /// Cost of the risk that two engines prefill the same shared parts. It arises when parts that
    /// no engine is known to hold are prefilled on an engine other than the home engine, to which
    /// the other nodes send them.
    pub(super) fn duplicate_prefill_cost(
        &self,
        engine: &Engine,
        version: &PromptForWeights,
        known: u32,
    ) -> f64 {
        let missing = version.shared_tokens().saturating_sub(known);
        if version.is_home_engine(engine) {
            return 0.0;
        }
        // Holders of small prefixes are not announced, so all other requests with the prefix have
        // gone to the home engine.
        let risk = match version.is_small() {
            true => 1.0,
            false if missing < MIN_SAVED_TOKENS => 0.0,
            false => self.prices.duplicate_prefill_risk,
        };
        f64::from(missing) * self.prices.reprefill_token * risk
    }

    /// Upper bound on the time until the request starts on the engine: twice the estimated prefill
    /// time of its prompt and the queued ones, and at least the longest recent delay in the pool.
    pub(super) fn max_start_delay(&self, engine: &Engine, unread_tokens: u32) -> Duration {
        let queued = f64::from(engine.load().unread_tokens) + f64::from(unread_tokens);
        let estimate =
            Duration::from_secs_f64(2.0 * queued / self.prices.prefill_tokens_per_ms / 1e3);
        estimate.max(self.max_recent_start_delay)
    }

    /// Cost of the time until the first token: prefill of the queued prompts and this one, transfer
    /// of the fetched KV cache, delay of its source, and network delay.
    pub(super) fn first_token_cost(
        &self,
        engine: &Engine,
        profile: &EngineProfile,
        unread_tokens: u32,
        fetch: Option<&KvFetch>,
        fetch_delay: Duration,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let queued = f64::from(engine.load().unread_tokens) + f64::from(unread_tokens);
        let prefill_ms = queued / self.prices.prefill_tokens_per_ms;
        let fetch_ms = fetch.map_or(0.0, |fetch| self.fetch_ms(engine, fetch, profile));
        let fetch_delay_ms = fetch_delay.as_secs_f64() * 1e3;
        let first_token_ms = prefill_ms + fetch_ms + fetch_delay_ms + self.delay_ms(engine);
        self.late_cost(first_token_ms, request)
    }

    /// Cost of the network delay to the engine, as if nothing else delayed the first token.
    pub(super) fn delay_cost(&self, engine: &Engine, request: &PlacementRequest<'_>) -> f64 {
        self.late_cost(self.delay_ms(engine), request)
    }

    /// Cost of a first token after this time; grows with the square of the time.
    fn late_cost(&self, first_token_ms: f64, request: &PlacementRequest<'_>) -> f64 {
        let target_ms = request.target_latency.as_secs_f64().max(0.001) * 1e3;
        let share = first_token_ms / target_ms;
        share * share * self.prices.first_token_at_target
    }

    /// Round-trip delay to an engine in another region; zero within the region.
    fn delay_ms(&self, engine: &Engine) -> f64 {
        match self.distance(engine) {
            Distance::Remote => self.prices.remote_delay.as_secs_f64() * 1e3,
            Distance::Near | Distance::SameRegion => 0.0,
        }
    }

    fn fetch_ms(&self, engine: &Engine, fetch: &KvFetch, profile: &EngineProfile) -> f64 {
        let bits = f64::from(fetch.tokens) * profile.kv_token_bytes * 8.0;
        let bits_per_ms = profile.link_megabits.max(1.0) * BITS_PER_MS_PER_MEGABIT_PER_S;
        let factor = match self.fetch_distance(engine, fetch) {
            Distance::Near => 1.0,
            Distance::SameRegion => MOVE_FACTOR_IN_REGION,
            Distance::Remote => MOVE_FACTOR_REMOTE,
        };
        factor * bits / bits_per_ms
    }

    /// Distance between the engine and the holder of the KV cache to fetch. A holder in an unknown
    /// zone is assumed to be in another zone of the same region.
    fn fetch_distance(&self, engine: &Engine, fetch: &KvFetch) -> Distance {
        let zone = match &fetch.holder {
            KvHolder::Engine(name) => self.engines.get(name).map(|holder| &holder.entry.zone),
            KvHolder::Store => self.zone_of_store(fetch.address),
        };
        zone.map_or(Distance::SameRegion, |zone| {
            self.topology.distance(zone, &engine.entry.zone)
        })
    }

    /// Cost of the pauses that prefilling the prompt causes in the streams that run on the engine.
    /// An engine prefills between two decode steps, so its streams wait while it prefills many
    /// tokens without a break. See docs/design/shifted.md.
    pub(super) fn pause_cost(
        &self,
        engine: &Engine,
        unread_tokens: u32,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let Some(max_pause) = self.table.longest_pause(request.pool) else {
            return 0.0;
        };
        let wrong_split_side = match self.matches_split(engine, request) {
            true => 0.0,
            false => self.prices.wrong_split_side,
        };
        let load = engine.load();
        let before = self.pause_risk(load.unread_tokens, max_pause);
        let after = self.pause_risk(load.unread_tokens.saturating_add(unread_tokens), max_pause);
        wrong_split_side
            + f64::from(load.requests) * (after - before) * self.prices.first_token_at_target
    }

    /// Share of streams that pause for longer than permitted while the engine prefills `tokens`.
    fn pause_risk(&self, tokens: u32, max_pause: Duration) -> f64 {
        let prefill_ms = f64::from(tokens) / self.prices.prefill_tokens_per_ms;
        let max_pause_ms = max_pause.as_secs_f64().max(0.001) * 1e3;
        (PAUSE_RISK * (prefill_ms / max_pause_ms).powi(3)).min(1.0)
    }

    /// Cost of starting on replaced weights. It directs requests to engines that have loaded the
    /// new weights already, so that engines still waiting to load have little work to lose.
    pub(super) fn stale_cost(&self, model: &str, weights: u64) -> f64 {
        let replaced_at = self.deadlines.replaced_at(model, weights);
        let is_stale = replaced_at.is_some_and(|at| self.now.since(at) >= self.prices.stale_after);
        if is_stale { self.prices.stale } else { 0.0 }
    }

    /// Cost of sending the request body to the engine's zone.
    pub(super) fn zone_cost(&self, engine: &Engine, request: &PlacementRequest<'_>) -> f64 {
        let price = match self.distance(engine) {
            Distance::Near => return 0.0,
            Distance::SameRegion => self.prices.kilobyte_across_zones,
            Distance::Remote => self.prices.kilobyte_across_regions,
        };
        let kilobytes = (request.body_bytes as f64 / BYTES_PER_KILOBYTE).max(1.0);
        kilobytes * price
    }

    /// Cost of a KV cache transfer. Includes the later prefill of tokens that the transfer displaces
    /// from the engine's cache.
    pub(super) fn move_cost(
        &self,
        engine: &Engine,
        fetch: &KvFetch,
        profile: &EngineProfile,
    ) -> f64 {
        let gigabytes = f64::from(fetch.tokens) * profile.kv_token_bytes / BYTES_PER_GIGABYTE;
        let price = match self.fetch_distance(engine, fetch) {
            Distance::Near => self.prices.moved_gigabyte,
            Distance::SameRegion => self.prices.moved_gigabyte_across_zones,
            Distance::Remote => self.prices.moved_gigabyte_across_regions,
        };
        let displaced = f64::from(fetch.tokens) * self.prices.displaced_share;
        gigabytes * price + displaced * self.prices.reprefill_token
    }

    fn zone_of_store(&self, address: SocketAddr) -> Option<&ZoneName> {
        let mut stores = self.table.kv_stores().iter();
        let store = stores.find(|store| store.address == address)?;
        Some(&store.zone)
    }

    /// Cost of the slots and KV memory in use; memory counts only above `kv_high_share`.
    pub(super) fn occupancy_cost(
        &self,
        engine: &Engine,
        profile: &EngineProfile,
        prompt: &Prompt,
    ) -> f64 {
        let load = engine.load();
        let slots = f64::from(profile.slots.max(1));
        let occupied = f64::from(load.requests) / slots * self.prices.occupied;
        let needed = load.kv_tokens.saturating_add(prompt.prompt_tokens);
        let share = f64::from(needed) / f64::from(profile.kv_tokens.max(1));
        let excess = (share - self.prices.kv_high_share).max(0.0);
        occupied + excess * self.prices.kv_overuse
    }

    /// Surcharges for an engine that is unhealthy, unlisted or recently refused a request.
    pub(super) fn state_cost(&self, engine: &Engine) -> f64 {
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
