//! Noticing that the store of kept KV cache has lost what it held.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::peers::{KvStoreState, KvStoreUpdate};

/// Time between questions.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The port to the store of kept KV cache.
pub trait KvStoreProbe {
    /// Names the life of the store's process; `None` when it does not answer.
    fn epoch(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<u64>>;
}

/// Asks the stores that fall to this node for their epochs, and tells the other nodes: a store that
/// was restarted is empty, so what it is believed to hold must be saved again.
pub async fn watch_kv_store(gateway: Rc<Gateway>, probe: Rc<dyn KvStoreProbe>) {
    loop {
        sleep(ASK_INTERVAL).await;
        for address in gateway.kv_stores_to_ask() {
            // One lost answer may be the network's; two in a row are the store's.
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
