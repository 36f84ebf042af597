//! Noticing that the store of kept KV cache has lost what it held.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::peers::KvStoreNews;

/// Time between questions.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The port to the store of kept KV cache.
pub trait KvStoreProbe {
    /// Names the life of the store's process; `None` when it does not answer.
    fn epoch(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<u64>>;
}

/// Asks the store for its epoch while this node is the first of all by name, and tells the others:
/// a store that was restarted is empty, so what it is believed to hold must be saved again.
pub async fn watch_kv_store(gateway: Rc<Gateway>, probe: Rc<dyn KvStoreProbe>) {
    loop {
        sleep(ASK_INTERVAL).await;
        let Some(address) = gateway.kv_store_to_ask() else {
            continue;
        };
        // One lost answer may be the network's; two in a row are the store's.
        let first = probe.epoch(address).await;
        let epoch = match first {
            Some(epoch) => Some(epoch),
            None => probe.epoch(address).await,
        };
        gateway.note_kv_store(epoch.map_or(KvStoreNews::Down, KvStoreNews::Up));
    }
}
