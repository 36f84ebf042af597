//! What is known of cached parts, and of the store that keeps them.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use slog::info;

use super::{Gateway, GatewayState};
use crate::peers::{HolderNews, KvStoreNews, NodeState};
use crate::placement::{PartKey, Placement, store_holder_name};

/// Most prefixes that wait to be told; beyond that news are left out.
const MOST_WAITING_HOLDER_NEWS: usize = 1_024;
/// A holder that uses a part again is told anew after so long.
const HOLDER_NEWS_INTERVAL: Duration = Duration::from_secs(1);

impl Gateway {
    /// An engine has read the prompt of a request: others may fetch its parts.
    pub fn note_prompt_read(&self, placement: &Placement) {
        let mut state = self.state_mut();
        for (key, _) in &placement.keys.0 {
            self.note_holder(&mut state, *key, &placement.engine);
        }
        if placement.saves {
            for (key, _) in placement.keys.shared() {
                self.note_holder(&mut state, *key, &store_holder_name());
            }
        }
    }

    /// Where the store of kept KV cache listens, when this node is to ask it.
    pub fn kv_store_to_ask(&self) -> Option<SocketAddr> {
        let state = self.state();
        let store = state.table.as_ref()?.kv_store()?;
        self.asks_kv_store(&state).then_some(store.address)
    }

    /// One node asks for all: of those that serve, the first by name.
    pub(super) fn asks_kv_store(&self, state: &GatewayState) -> bool {
        let own_name = &self.settings().identity.name;
        let mut others = state.peers.ready(self.clock().now());
        let is_first = others.all(|peer| peer.identity.name > *own_name);
        is_first && state.node_state == NodeState::Ready
    }

    pub(super) fn kv_store_news(&self, state: &GatewayState) -> Option<KvStoreNews> {
        if !self.asks_kv_store(state) {
            return None;
        }
        match state.is_kv_store_down {
            true => Some(KvStoreNews::Down),
            false => state.kv_store_epoch.map(KvStoreNews::Up),
        }
    }

    /// The store of kept KV cache answered, or did not.
    pub fn note_kv_store(&self, news: KvStoreNews) {
        let mut state = self.state_mut();
        self.adopt_kv_store_news(&mut state, news);
    }

    pub(super) fn adopt_kv_store_news(&self, state: &mut GatewayState, news: KvStoreNews) {
        let was_down = state.is_kv_store_down;
        state.is_kv_store_down = news == KvStoreNews::Down;
        if was_down != state.is_kv_store_down {
            info!(self.log(), "kv_store_reached"; "answers" => !state.is_kv_store_down);
        }
        let KvStoreNews::Up(epoch) = news else {
            return;
        };
        let before = state.kv_store_epoch.replace(epoch);
        if before.is_some_and(|before| before != epoch) {
            state.holders.forget_engine(&store_holder_name());
            info!(self.log(), "kv_store_restarted"; "epoch" => epoch, "before" => before);
        }
    }

    pub(super) fn note_holder(&self, state: &mut GatewayState, key: PartKey, holder: &BackEndName) {
        let now = self.clock().now();
        let known_at = state.holders.of(key).find(|(name, _)| *name == holder);
        let is_news = known_at.is_none_or(|(_, at)| now.since(at) > HOLDER_NEWS_INTERVAL);
        state.holders.note(key, holder, now);
        if is_news && state.holder_news.len() < MOST_WAITING_HOLDER_NEWS {
            state.holder_news.push(HolderNews(key, holder.clone()));
        }
    }
}
