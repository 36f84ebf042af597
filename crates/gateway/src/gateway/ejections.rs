//! Logs which engines this node ejects and which serve again.

use std::fmt::Display;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;
use slog::{info, warn};

use super::Gateway;
use crate::engines::Engine;

impl Gateway {
    /// Applies an update to an engine, and logs it if the engine is ejected or serves again. `cause`
    /// is what the update follows from, and `request` the id of the request in which it was seen.
    pub fn update_health(
        &self,
        engine: &mut Engine,
        cause: &dyn Display,
        request: Option<&str>,
        update: impl FnOnce(&mut Engine),
    ) {
        let since = engine.health.ejected_since();
        let until = engine.health.ejected_until();
        update(engine);
        let name = &engine.entry.name;
        match (engine.health.ejected_until(), since) {
            (Some(expiry), _) if until != Some(expiry) => {
                self.log_engine_ejected(name, expiry, cause, request);
            }
            (None, Some(since)) if engine.health.is_serving() => {
                self.log_engine_back(name, since, cause, request);
            }
            _ => {}
        }
    }

    fn log_engine_ejected(
        &self,
        engine: &BackEndName,
        until: Timestamp,
        cause: &dyn Display,
        request: Option<&str>,
    ) {
        let now = self.clock().now();
        if let Some(left_out) = self.ejection_sampler().admit(now) {
            warn!(self.log(), "engine_ejected"; "engine" => %engine, "by" => %cause,
                "for_ms" => until.since(now).as_millis() as u64, "request" => request,
                "left_out" => left_out);
        }
    }

    pub(super) fn log_engine_back(
        &self,
        engine: &BackEndName,
        since: Timestamp,
        cause: &dyn Display,
        request: Option<&str>,
    ) {
        let now = self.clock().now();
        if let Some(left_out) = self.ejection_sampler().admit(now) {
            info!(self.log(), "engine_back"; "engine" => %engine, "by" => %cause,
                "after_ms" => now.since(since).as_millis() as u64, "request" => request,
                "left_out" => left_out);
        }
    }
}
