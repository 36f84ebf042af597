//! Tracks the weights that engines have loaded.

use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use slog::info;

use super::Gateway;
use crate::peers::WeightsUpdate;

impl Gateway {
    /// Records the weights that an engine reports in a response.
    pub fn note_weights(&self, engine: &BackEndName, model: &str, version: u64) {
        let mut state = self.state_mut();
        let Some(known) = state.engines.get_mut(engine) else {
            return;
        };
        let is_expected = known.weights_of(model) == Some(version);
        if is_expected || !known.note_weights(model, version) {
            return;
        }
        info!(self.log(), "engine_weights"; "engine" => %engine, "model" => model,
            "version" => version);
        state.weights_updates.push(WeightsUpdate {
            engine: engine.clone(),
            model: model.to_owned(),
            version,
            loading_ms: None,
        });
        drop(state);
        self.send_requested.notify_one();
    }

    /// Records that an engine has loaded the weights that this node ordered. Every node is
    /// informed, so that the engine gets requests again.
    pub fn note_loaded(&self, engine: &BackEndName, model: &str, version: u64, after: Duration) {
        let mut state = self.state_mut();
        if let Some(known) = state.engines.get_mut(engine) {
            known.note_weights(model, version);
        }
        info!(self.log(), "engine_loaded"; "engine" => %engine, "model" => model,
            "version" => version, "after_ms" => after.as_millis() as u64);
        let update = WeightsUpdate {
            engine: engine.clone(),
            model: model.to_owned(),
            version,
            loading_ms: None,
        };
        self.send_loading_update(&mut state, update);
    }

    /// Records that this node is about to order an engine to load weights.
    pub fn note_loading(
        &self,
        engine: &BackEndName,
        model: &str,
        version: u64,
        expected: Duration,
    ) {
        let until = self.clock().now().after(expected);
        let mut state = self.state_mut();
        state.order_need.note_effect(self.clock().now());
        if let Some(known) = state.engines.get_mut(engine) {
            known.note_loading(model, version, until);
        }
        let update = WeightsUpdate {
            engine: engine.clone(),
            model: model.to_owned(),
            version,
            loading_ms: Some(expected.as_millis() as u64),
        };
        self.send_loading_update(&mut state, update);
    }

    pub(super) fn apply_weights_update(&self, update: &WeightsUpdate) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        if update.loading_ms.is_some() {
            state.order_need.note_effect(now);
        }
        let Some(engine) = state.engines.get_mut(&update.engine) else {
            return;
        };
        match update.loading_ms {
            Some(millis) => {
                let until = now.after(Duration::from_millis(millis));
                engine.note_loading(&update.model, update.version, until);
            }
            None => {
                if engine.note_weights(&update.model, update.version) {
                    info!(self.log(), "engine_weights"; "engine" => %update.engine,
                        "model" => &update.model, "version" => update.version, "by" => "peer");
                }
            }
        }
    }
}
