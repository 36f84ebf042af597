//! Which engines and KV stores hold parts of a prompt, and from where to fetch them.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::placement::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

use super::Chooser;
use crate::catalogue::KvStoreProfile;
use crate::engines::Engine;
use crate::placement::prompt_for_weights::PromptForWeights;
use crate::placement::{
    KvFetch, KvHolder, MIN_SAVED_TOKENS, PartKey, PlacementRequest, PromptKeys,
};
use crate::topology::Distance;

/// Minimum number of tokens that are worth a fetch.
const MIN_FETCHED_TOKENS: u32 = 64;
/// An engine that used a part within this time is assumed to still have it in its cache.
const RECENT_USE: Duration = Duration::from_secs(2);
/// A saved part is expected in the KV store for this time.
const STORE_RETENTION: Duration = Duration::from_secs(20);

impl Chooser<'_> {
    /// Number of tokens in the longest prefix that the engine is known to hold.
    pub(super) fn held_tokens(&self, engine: &Engine, keys: &PromptKeys) -> u32 {
        let holds = |key| {
            let mut holders = self.holders.of(key);
            holders.any(|(name, _)| *name == engine.entry.name)
        };
        let longest = keys.0.iter().rev().find(|(key, _)| holds(*key));
        longest.map_or(0, |(_, tokens)| *tokens)
    }

    /// Chooses a source for the part of the prompt that the engine lacks. Longer prefixes are
    /// preferred; for each prefix, an engine that used it recently comes first, then the KV store,
    /// then any engine that ever held it.
    pub(super) fn best_fetch(
        &self,
        engine: &Engine,
        version: &PromptForWeights,
        cached: u32,
    ) -> Option<KvFetch> {
        let keys = &version.keys;
        for (key, tokens) in keys.0.iter().rev() {
            if tokens.saturating_sub(cached) < MIN_FETCHED_TOKENS {
                return self.fetch_if_missing(engine, keys);
            }
            let tokens = tokens - cached;
            let holder = self.best_holder(engine, *key, version);
            if let Some((holder, used_at)) = holder
                && self.now.since(used_at) < RECENT_USE
            {
                return Some(fetch_from(holder, tokens));
            }
            if self.is_stored(*key, engine, keys) {
                return self.fetch_from_store(engine, keys, tokens);
            }
            if let Some((holder, _)) = holder {
                return Some(fetch_from(holder, tokens));
            }
        }
        // No known holder has any of it, but processes that ran earlier may have saved it to the
        // store.
        self.fetch_if_missing(engine, keys)
    }

    /// The longest prefix that another engine is known to hold and this one lacks. Used while the KV
    /// store is slow, so also engines are considered that may have evicted the prefix meanwhile.
    pub(super) fn best_loan(
        &self,
        engine: &Engine,
        version: &PromptForWeights,
        cached: u32,
    ) -> Option<KvFetch> {
        let longest_first = version.keys.0.iter().rev();
        longest_first
            .map(|(key, tokens)| (key, tokens.saturating_sub(cached)))
            .take_while(|(_, tokens)| *tokens >= MIN_FETCHED_TOKENS)
            .find_map(|(key, tokens)| {
                let (holder, _) = self.best_holder(engine, *key, version)?;
                Some(fetch_from(holder, tokens))
            })
    }

    /// By how much the source of a fetch is expected to delay the first token, beyond the time of
    /// the transfer.
    pub(super) fn fetch_delay(
        &self,
        fetch: Option<&KvFetch>,
        request: &PlacementRequest<'_>,
    ) -> Duration {
        match fetch {
            Some(fetch) if fetch.holder == KvHolder::Store => {
                self.store_delay(fetch.address, request)
            }
            _ => Duration::ZERO,
        }
    }

    fn store_delay(&self, store: SocketAddr, request: &PlacementRequest<'_>) -> Duration {
        let request_hash = xxh3_64(request.id.as_bytes());
        self.kv_stores.delays().delay_of(store, request_hash)
    }

    /// A fetch of zero expected tokens from the store, in case the engine has evicted shared parts
    /// that it is believed to hold. If it has them all, nothing is transferred.
    pub(super) fn fetch_if_missing(&self, engine: &Engine, keys: &PromptKeys) -> Option<KvFetch> {
        let shared = keys.shared().last().map_or(0, |(_, tokens)| *tokens);
        let is_worthwhile = shared >= MIN_SAVED_TOKENS;
        is_worthwhile
            .then(|| self.fetch_from_store(engine, keys, 0))
            .flatten()
    }

    /// The best engine from which `engine` can fetch the prefix that ends with a part. An engine that
    /// used the prefix recently is preferred, then the nearest one, then the one that used it last.
    pub(super) fn best_holder(
        &self,
        engine: &Engine,
        key: PartKey,
        version: &PromptForWeights,
    ) -> Option<(&Engine, Timestamp)> {
        let holders = self.holders.of(key);
        holders
            .filter_map(|(name, used_at)| Some((self.engines.get(name)?, used_at)))
            .filter(|(holder, _)| self.can_export_to(holder, engine))
            // An engine that has loaded other weights since has dropped its cache.
            .filter(|(holder, _)| version.has_weights_of(holder))
            .max_by_key(|(holder, used_at)| {
                let is_recent = self.now.since(*used_at) < RECENT_USE;
                let distance = self
                    .topology
                    .distance(&holder.entry.zone, &engine.entry.zone);
                (is_recent, Reverse(distance), *used_at)
            })
    }

    /// The KV store for the shared parts of a prompt on this engine. All nodes choose the same
    /// store among the reachable ones, so that the location of a part need not be announced and no
    /// part is stored twice. A transfer from another region takes ten times as long, so stores in
    /// the engine's own region are preferred while any of them is reachable.
    fn store_of(&self, engine: &Engine, keys: &PromptKeys) -> Option<&KvStoreProfile> {
        let (key, _) = keys.shared().last()?;
        let stores = self.table.kv_stores().iter();
        let up = stores.filter(|store| self.kv_stores.is_up(store.address));
        up.max_by_key(|store| {
            let distance = self.topology.distance(&engine.entry.zone, &store.zone);
            let score = rendezvous_score(key.0, store.hash());
            (distance < Distance::Remote, score)
        })
    }

    fn is_stored(&self, key: PartKey, engine: &Engine, keys: &PromptKeys) -> bool {
        let store = self.store_of(engine, keys);
        let stored_at = store.and_then(|store| self.holders.stored_at(key, store.address));
        stored_at.is_some_and(|at| self.now.since(at) < STORE_RETENTION)
    }

    fn fetch_from_store(&self, engine: &Engine, keys: &PromptKeys, tokens: u32) -> Option<KvFetch> {
        let store = self.store_of(engine, keys)?;
        Some(KvFetch {
            holder: KvHolder::Store,
            address: store.address,
            tokens,
        })
    }

    /// The store to which the engine should save the shared parts after prefill; `None` if they are
    /// too short or already stored, or if the store is slow: saving takes its link from requests that
    /// wait for a fetch.
    pub(super) fn save_to(
        &self,
        engine: &Engine,
        keys: &PromptKeys,
        request: &PlacementRequest<'_>,
    ) -> Option<SocketAddr> {
        let (key, tokens) = keys.shared().last()?;
        let is_worthwhile = *tokens >= MIN_SAVED_TOKENS && !self.is_stored(*key, engine, keys);
        let store = self.store_of(engine, keys)?;
        let is_quick = self.store_delay(store.address, request).is_zero();
        (is_worthwhile && is_quick).then_some(store.address)
    }

    /// Whether an engine can send KV cache to another one now.
    pub(super) fn can_export_to(&self, holder: &Engine, receiver: &Engine) -> bool {
        let is_other = holder.entry.name != receiver.entry.name;
        is_other
            && !holder.is_loading(self.now)
            && holder.health.is_serving()
            && !holder.is_unlisted
    }
}

fn fetch_from(holder: &Engine, tokens: u32) -> KvFetch {
    KvFetch {
        holder: KvHolder::Engine(holder.entry.name.clone()),
        address: holder.entry.address,
        tokens,
    }
}
