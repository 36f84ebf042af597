//! Tracks the holders of cached prefixes, and the state of the KV stores.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, PoolName};
use slog::info;

use super::{Gateway, GatewayState};
use crate::catalogue::KvStoreProfile;
use crate::peers::{HolderUpdate, KvStoreUpdate, NodeState, Peer};
use crate::placement::{PartKey, Placement, StoreChange, store_holder_name};

/// Maximum number of queued prefix updates; further ones are not reported.
const MAX_QUEUED_HOLDER_UPDATES: usize = 1_024;
/// A holder that uses a prefix again is reported again after this time.
const HOLDER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Prefixes with fewer tokens are cheaper to compute again than to report.
pub(super) const MIN_ANNOUNCED_TOKENS: u32 = 256;

impl Gateway {
    /// Records the start delay of a request: the time `after` which its prefill was done.
    pub fn note_request_start(&self, pool: &PoolName, after: Duration) {
        let now = self.clock().now();
        self.state_mut().start_delays.note(pool, after, now);
    }

    /// Records that an engine has done the prefill of a request, so that others may fetch the
    /// cached parts.
    pub fn note_prefill_done(&self, placement: &Placement) {
        let now = self.clock().now();
        let is_same_incarnation = self.is_same_incarnation(placement);
        let mut state = self.state_mut();
        let shared = placement.keys.shared();
        // An engine that has restarted since has lost the prefixes; the store may still have them.
        let cached = placement.keys.0.iter().filter(|_| is_same_incarnation);
        for (key, tokens) in cached {
            let is_worth_announcing =
                *tokens >= MIN_ANNOUNCED_TOKENS && shared.iter().any(|part| part.0 == *key);
            match is_worth_announcing {
                true => self.note_holder(&mut state, *key, &placement.engine),
                // Only later requests at this node may share this prefix.
                false => state.holders.note_local(*key, &placement.engine, now),
            }
        }
        if let Some(store) = placement.save_to {
            for (key, _) in placement.keys.shared() {
                self.note_holder(&mut state, *key, &store_holder_name(store));
            }
        }
    }

    /// Addresses of the KV stores that this node checks.
    pub fn kv_stores_to_check(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let stores = state.table.iter().flat_map(|table| table.kv_stores());
        let own = stores.filter(|store| self.checks_kv_store(&state, store));
        own.map(|store| store.address).collect()
    }

    /// Whether this node checks a KV store on behalf of all nodes: the first by name of the ready
    /// nodes in the store's zone does, or of all ready nodes when the zone has none.
    fn checks_kv_store(&self, state: &GatewayState, store: &KvStoreProfile) -> bool {
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
        let own = stores.filter(|store| self.checks_kv_store(state, store));
        own.filter_map(|store| {
            let known = state.kv_stores.state(store.address)?;
            Some(KvStoreUpdate(store.address, known))
        })
        .collect()
    }

    /// Records whether a KV store answered, and informs the other nodes of a change.
    pub fn note_kv_store(&self, update: KvStoreUpdate) {
        let mut state = self.state_mut();
        if self.apply_kv_store(&mut state, update) {
            state.broadcast_next = true;
            drop(state);
            self.request_peer_send();
        }
    }

    /// Applies the reported state of a KV store; returns whether anything has changed.
    pub(super) fn apply_kv_store(&self, state: &mut GatewayState, update: KvStoreUpdate) -> bool {
        let KvStoreUpdate(address, reported) = update;
        match state.kv_stores.note(address, reported) {
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
        let is_new = known_at.is_none_or(|(_, at)| now.since(at) > HOLDER_UPDATE_INTERVAL);
        state.holders.note(key, holder, now);
        if is_new && state.holder_updates.len() < MAX_QUEUED_HOLDER_UPDATES {
            let update = HolderUpdate(key, holder.clone());
            state.holder_updates.push(update.clone());
            self.queue_zone_update(state, update);
        }
    }
}
