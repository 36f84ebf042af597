//! Who holds the parts of a prompt, and where to fetch them from.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{Chooser, LEAST_SAVED_TOKENS};
use crate::engines::Engine;
use crate::placement::{KvFetch, KvHolder, PartKey, PromptKeys};

/// Fewest tokens that are worth fetching.
const LEAST_FETCHED_TOKENS: u32 = 64;
/// An engine that used a part within this time has it still.
const LATELY: Duration = Duration::from_secs(2);
/// A part that was saved is expected in the store for so long.
const STORED_FOR: Duration = Duration::from_secs(20);

impl Chooser<'_> {
    /// Tokens of the longest prefix that an engine is known to hold.
    pub(super) fn held_tokens(&self, engine: &Engine, keys: &PromptKeys) -> u32 {
        let holds = |key| {
            let mut holders = self.holders.of(key);
            holders.any(|(name, _)| *name == engine.entry.name)
        };
        let longest = keys.0.iter().rev().find(|(key, _)| holds(*key));
        longest.map_or(0, |(_, tokens)| *tokens)
    }

    /// Where to fetch what the engine lacks of the prompt: the longest prefix first, from an engine
    /// that used it lately, else from the store, else from any engine that once had it.
    pub(super) fn best_fetch(
        &self,
        engine: &Engine,
        keys: &PromptKeys,
        cached: u32,
    ) -> Option<KvFetch> {
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
    pub(super) fn fetch_in_case(&self, keys: &PromptKeys) -> Option<KvFetch> {
        let shared = keys.shared().last().map_or(0, |(_, tokens)| *tokens);
        let is_worth = shared >= LEAST_SAVED_TOKENS;
        is_worth.then(|| self.fetch_from_store(0)).flatten()
    }

    pub(super) fn best_lender(
        &self,
        engine: &Engine,
        key: PartKey,
    ) -> Option<(&Engine, Timestamp)> {
        let holders = self.holders.of(key);
        holders
            .filter_map(|(name, used_at)| Some((self.engines.get(name)?, used_at)))
            .filter(|(holder, _)| self.may_lend(holder, engine))
            .max_by_key(|(holder, used_at)| {
                let is_late = self.now.since(*used_at) < LATELY;
                (is_late, holder.entry.zone == engine.entry.zone, *used_at)
            })
    }

    pub(super) fn is_stored(&self, key: PartKey) -> bool {
        let stored_at = self.holders.stored_at(key);
        stored_at.is_some_and(|at| self.now.since(at) < STORED_FOR)
    }

    pub(super) fn fetch_from_store(&self, tokens: u32) -> Option<KvFetch> {
        let store = self.table.kv_store().filter(|_| self.is_store_up)?;
        Some(KvFetch {
            holder: KvHolder::Store,
            address: store.address,
            tokens,
        })
    }

    /// Shared parts that are worth it are saved once, by whoever reads them.
    pub(super) fn should_save(&self, keys: &PromptKeys) -> bool {
        let Some((key, tokens)) = keys.shared().last() else {
            return false;
        };
        let has_store = self.table.kv_store().is_some() && self.is_store_up;
        has_store && *tokens >= LEAST_SAVED_TOKENS && !self.is_stored(*key)
    }

    pub(super) fn may_lend(&self, holder: &Engine, borrower: &Engine) -> bool {
        let is_other = holder.entry.name != borrower.entry.name;
        let is_loading = holder.loading_until.is_some_and(|until| self.now < until);
        is_other && !is_loading && holder.health.is_serving() && !holder.is_unlisted
    }
}

fn fetch_from(lender: &Engine, tokens: u32) -> KvFetch {
    KvFetch {
        holder: KvHolder::Engine(lender.entry.name.clone()),
        address: lender.entry.address,
        tokens,
    }
}
