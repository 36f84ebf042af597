//! Detects restarts of the KV store, which lose its contents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::peers::{KvStoreState, KvStoreUpdate};

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Client that polls the KV store.
pub trait KvStoreProbe {
    /// Returns the epoch of the store's process, which changes with each start; `None` if the store
    /// does not answer.
    fn epoch(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<u64>>;
}

/// Polls the epochs of the KV stores that are assigned to this node and announces them to the other
/// nodes. A restarted store is empty, so the prefixes it was believed to hold must be saved again.
pub async fn watch_kv_store(gateway: Rc<Gateway>, probe: Rc<dyn KvStoreProbe>) {
    loop {
        sleep(POLL_INTERVAL).await;
        for address in gateway.kv_stores_to_check() {
            // One lost answer may be due to the network. The store is reported as down only after
            // two in a row.
            let first = probe.epoch(address).await;
            let epoch = match first {
                Some(epoch) => Some(epoch),
                None => probe.epoch(address).await,
            };
            let state = epoch.map_or(KvStoreState::Down, KvStoreState::Up);
            gateway.note_kv_store(KvStoreUpdate(address, state));
        }
    }
}
