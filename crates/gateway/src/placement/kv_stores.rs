//! Reachability, epochs and delays of the KV stores.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::SourceDelays;
use crate::peers::KvStoreState;

/// What is known of the KV stores. A store without any report is assumed to be reachable.
#[derive(Debug, Default)]
pub struct KvStores {
    states: BTreeMap<SocketAddr, KvStoreState>,
    /// Last known epoch of each store; kept while the store is down.
    epochs: BTreeMap<SocketAddr, u64>,
    delays: SourceDelays,
}

/// What a report about a KV store changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange {
    /// No change.
    Unchanged,
    /// The store has become reachable (`true`) or unreachable (`false`).
    ReachabilityChanged(bool),
    /// The store has restarted, so its former contents are lost.
    Restarted {
        /// Epoch before the restart.
        before: u64,
        /// Epoch after the restart.
        epoch: u64,
    },
}

impl KvStores {
    /// Whether the store is reachable, as far as known.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.states.get(&address) != Some(&KvStoreState::Down)
    }

    /// The last reported state of a store.
    pub fn state(&self, address: SocketAddr) -> Option<KvStoreState> {
        self.states.get(&address).copied()
    }

    /// The delays of the stores.
    pub fn delays(&self) -> &SourceDelays {
        &self.delays
    }

    /// The delays of the stores.
    pub fn delays_mut(&mut self) -> &mut SourceDelays {
        &mut self.delays
    }

    /// Applies a report about a store.
    pub fn note(&mut self, address: SocketAddr, state: KvStoreState) -> StoreChange {
        let was_up = self.is_up(address);
        self.states.insert(address, state);
        if let KvStoreState::Up(epoch) = state {
            let before = self.epochs.insert(address, epoch);
            if let Some(before) = before.filter(|before| *before != epoch) {
                return StoreChange::Restarted { before, epoch };
            }
        }
        match self.is_up(address) {
            is_up if is_up != was_up => StoreChange::ReachabilityChanged(is_up),
            _ => StoreChange::Unchanged,
        }
    }
}
