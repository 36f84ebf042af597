//! Weight loads, which fetch the weights from the weight store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use ryerouter_core::Timestamp;
use ryerouter_core::identity::WeightsVersion;

use super::{EngineCore, EngineState};
use crate::engine_model::EngineEvent;

/// Pause before a weight load that failed is tried again.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// A time that never comes: weights that are still being fetched.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

impl EngineCore {
    /// Starts to load weights; overtakes a load under way.
    pub(super) fn load_weights(self: &Arc<Self>, state: &mut EngineState, weights_version: u64) {
        state.weight_load += 1;
        let load = EngineEvent::LoadWeights {
            weights_version: WeightsVersion(weights_version),
            ready_at: NEVER,
        };
        self.handle(state, load);
        let fetch = fetch_weights(Arc::clone(self), weights_version, state.weight_load);
        tokio::spawn(fetch);
    }

    fn weights_arrived(self: &Arc<Self>, weights_version: u64, load: u64) {
        let mut state = self.state.lock();
        if state.weight_load != load {
            return;
        }
        let arrived = EngineEvent::LoadWeights {
            weights_version: WeightsVersion(weights_version),
            ready_at: self.now(),
        };
        self.handle(&mut state, arrived);
    }
}

/// Loads weights until they are there or another load overtakes this one.
async fn fetch_weights(core: Arc<EngineCore>, weights_version: u64, load: u64) {
    let path = format!("/weights/{}/{weights_version}", core.settings.model);
    while let Some(store) = core.settings.weight_store {
        let call = core.client.call(Method::GET, store, &path, Bytes::new());
        let loaded = matches!(call.await, Ok((StatusCode::OK, _)));
        if loaded || core.state.lock().weight_load != load {
            break;
        }
        tokio::time::sleep(LOAD_RETRY).await;
    }
    core.weights_arrived(weights_version, load);
}
