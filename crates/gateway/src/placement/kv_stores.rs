//! Which stores of kept KV cache answer, and in which life.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peers::KvStoreState;

/// What is believed of the stores of kept KV cache; one that nobody has told of is taken to answer.
#[derive(Debug, Default)]
pub struct KvStores {
    states: BTreeMap<SocketAddr, KvStoreState>,
    /// The last life of each store: it stays known while the store is down.
    epochs: BTreeMap<SocketAddr, u64>,
}

/// What news of a store mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange {
    /// Nothing new.
    Unchanged,
    /// It answers now, or does not any more.
    ReachabilityChanged(bool),
    /// It has another life, so what it held before is gone.
    Restarted {
        /// The life before.
        before: u64,
        /// The life now.
        epoch: u64,
    },
}

impl KvStores {
    /// Whether a store answers, as far as known.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.states.get(&address) != Some(&KvStoreState::Down)
    }

    /// The state of a store, as last heard.
    pub fn state(&self, address: SocketAddr) -> Option<KvStoreState> {
        self.states.get(&address).copied()
    }

    /// Takes news of a store.
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
