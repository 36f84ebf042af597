//! What is known of cached parts, and of the store that keeps them.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};
use slog::info;

use super::{Gateway, GatewayState};
use crate::catalogue::KvStoreProfile;
use crate::peers::{HolderNews, KvStoreNews, NodeState, Peer};
use crate::placement::{PartKey, Placement, StoreChange, store_holder_name};

/// Most prefixes that wait to be told; beyond that news are left out.
const MOST_WAITING_HOLDER_NEWS: usize = 1_024;
/// A holder that uses a part again is told anew after so long.
const HOLDER_NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// Prefixes shorter than this are read again sooner than told of.
pub(super) const LEAST_TOLD_TOKENS: u32 = 256;

impl Gateway {
    /// A request of a pool began: its prompt was read `after` it had come.
    pub fn note_begin(&self, pool: &PoolName, after: Duration) {
        let now = self.clock().now();
        self.state_mut().start_delays.note(pool, after, now);
    }

    /// An engine has read the prompt of a request: others may fetch its parts.
    pub fn note_prompt_read(&self, placement: &Placement) {
        let now = self.clock().now();
        let is_kept = self.is_in_life_of(placement);
        let mut state = self.state_mut();
        let shared = placement.keys.shared();
        // An engine that has begun again since keeps nothing of it; the store may.
        let kept = placement.keys.0.iter().filter(|_| is_kept);
        for (key, tokens) in kept {
            let is_worth = *tokens >= LEAST_TOLD_TOKENS && shared.iter().any(|part| part.0 == *key);
            match is_worth {
                true => self.note_holder(&mut state, *key, &placement.engine),
                // Only this node may see it again.
                false => state.holders.note_local(*key, &placement.engine, now),
            }
        }
        if let Some(store) = placement.save_to {
            for (key, _) in placement.keys.shared() {
                self.note_holder(&mut state, *key, &store_holder_name(store));
            }
        }
    }

    /// Where the stores of kept KV cache listen that this node is to ask.
    pub fn kv_stores_to_ask(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let stores = state.table.iter().flat_map(|table| table.kv_stores());
        let own = stores.filter(|store| self.asks_kv_store(&state, store));
        own.map(|store| store.address).collect()
    }

    /// One node asks a store for all: of those that serve in its zone the first by name, or of all
    /// that serve when none stands there.
    fn asks_kv_store(&self, state: &GatewayState, store: &KvStoreProfile) -> bool {
        if state.node_state != NodeState::Ready {
            return false;
        }
        let own = &self.settings().identity;
        let now = self.clock().now();
        let is_in_zone = |peer: &&Peer| peer.identity.zone == store.zone;
        let first_in_zone = state.peers.ready(now).filter(is_in_zone);
        let first_in_zone = first_in_zone.map(|peer| &peer.identity.name).min();
        if own.zone == store.zone {
            return first_in_zone.is_none_or(|first| *first > own.name);
        }
        let mut others = state.peers.ready(now);
        first_in_zone.is_none() && others.all(|peer| peer.identity.name > own.name)
    }

    pub(super) fn kv_store_news(&self, state: &GatewayState) -> Vec<KvStoreNews> {
        let stores = state.table.iter().flat_map(|table| table.kv_stores());
        let own = stores.filter(|store| self.asks_kv_store(state, store));
        own.filter_map(|store| {
            let known = state.kv_stores.state(store.address)?;
            Some(KvStoreNews(store.address, known))
        })
        .collect()
    }

    /// A store of kept KV cache answered, or did not.
    pub fn note_kv_store(&self, news: KvStoreNews) {
        let mut state = self.state_mut();
        if self.adopt_kv_store_news(&mut state, news) {
            state.news_for_all = true;
            drop(state);
            self.tell_peers_soon();
        }
    }

    /// Whether the news changed anything.
    pub(super) fn adopt_kv_store_news(&self, state: &mut GatewayState, news: KvStoreNews) -> bool {
        let KvStoreNews(address, told) = news;
        match state.kv_stores.note(address, told) {
            StoreChange::Unchanged => return false,
            StoreChange::ReachabilityChanged(answers) => {
                info!(self.log(), "kv_store_reached"; "store" => %address, "answers" => answers);
            }
            StoreChange::Restarted { before, epoch } => {
                state.holders.forget_engine(&store_holder_name(address));
                info!(self.log(), "kv_store_restarted"; "store" => %address, "epoch" => epoch,
                    "before" => before);
            }
        }
        true
    }

    pub(super) fn note_holder(&self, state: &mut GatewayState, key: PartKey, holder: &BackEndName) {
        let now = self.clock().now();
        let known_at = state.holders.of(key).find(|(name, _)| *name == holder);
        let is_news = known_at.is_none_or(|(_, at)| now.since(at) > HOLDER_NEWS_INTERVAL);
        state.holders.note(key, holder, now);
        if is_news && state.holder_news.len() < MOST_WAITING_HOLDER_NEWS {
            let news = HolderNews(key, holder.clone());
            state.holder_news.push(news.clone());
            self.note_zone_news(state, news);
        }
    }
}
