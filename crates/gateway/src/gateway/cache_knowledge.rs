//! What is known of cached parts, and of the store that keeps them.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};
use slog::info;

use super::{Gateway, GatewayState};
use crate::catalogue::KvStoreProfile;
use crate::peers::{HolderUpdate, KvStoreUpdate, NodeState, Peer};
use crate::placement::{PartKey, Placement, StoreChange, store_holder_name};

/// Most prefixes that wait to be told; beyond that news are left out.
const MAX_QUEUED_HOLDER_UPDATES: usize = 1_024;
/// A holder that uses a part again is told anew after so long.
const HOLDER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Prefixes shorter than this are read again sooner than told of.
pub(super) const MIN_ANNOUNCED_TOKENS: u32 = 256;

impl Gateway {
    /// A request of a pool began: its prompt was read `after` it had come.
    pub fn note_begin(&self, pool: &PoolName, after: Duration) {
        let now = self.clock().now();
        self.state_mut().begin_times.note(pool, after, now);
    }

    /// An engine has read the prompt of a request: others may fetch its parts.
    pub fn note_prompt_read(&self, placement: &Placement) {
        let now = self.clock().now();
        let is_kept = self.is_same_incarnation(placement);
        let mut state = self.state_mut();
        let shared = placement.keys.shared();
        // An engine that has begun again since keeps nothing of it; the store may.
        let kept = placement.keys.0.iter().filter(|_| is_kept);
        for (key, tokens) in kept {
            let is_worth_announcing =
                *tokens >= MIN_ANNOUNCED_TOKENS && shared.iter().any(|part| part.0 == *key);
            match is_worth_announcing {
                true => self.note_holder(&mut state, *key, &placement.engine),
                // Only this node may see it again.
                false => state.holders.note_untold(*key, &placement.engine, now),
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

    pub(super) fn kv_store_updates(&self, state: &GatewayState) -> Vec<KvStoreUpdate> {
        let stores = state.table.iter().flat_map(|table| table.kv_stores());
        let own = stores.filter(|store| self.asks_kv_store(state, store));
        own.filter_map(|store| {
            let known = state.kv_stores.state(store.address)?;
            Some(KvStoreUpdate(store.address, known))
        })
        .collect()
    }

    /// A store of kept KV cache answered, or did not.
    pub fn note_kv_store(&self, update: KvStoreUpdate) {
        let mut state = self.state_mut();
        if self.apply_kv_store_update(&mut state, update) {
            state.broadcast_next = true;
            drop(state);
            self.request_peer_send();
        }
    }

    /// Whether the news changed anything.
    pub(super) fn apply_kv_store_update(
        &self,
        state: &mut GatewayState,
        update: KvStoreUpdate,
    ) -> bool {
        let KvStoreUpdate(address, reported) = update;
        match state.kv_stores.note(address, reported) {
            StoreChange::None => return false,
            StoreChange::Reached(answers) => {
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
        let is_new = known_at.is_none_or(|(_, at)| now.since(at) > HOLDER_UPDATE_INTERVAL);
        state.holders.note(key, holder, now);
        if is_new && state.holder_updates.len() < MAX_QUEUED_HOLDER_UPDATES {
            let update = HolderUpdate(key, holder.clone());
            state.holder_updates.push(update.clone());
            self.queue_zone_update(state, update);
        }
    }
}
