//! Follows the events of engines' caches; see docs/design/decisions.md.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{BackEndName, NodeName};
use ryerouter_core::placement::rendezvous_score;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::cache_directory::MIN_ANNOUNCED_TOKENS;
use super::{Gateway, GatewayState};
use crate::engines::Engine;
use crate::peers::{HolderUpdate, NodeState};
use crate::placement::{CacheChange, PartKey};

/// Maximum number of queued evictions; further ones are not reported.
const MAX_QUEUED_DROPS: usize = 512;
/// Time within which an engine has computed the parts of a request that was sent to it.
const COMPUTATION_TIME: Duration = Duration::from_secs(5);

impl Gateway {
    /// The engines whose caches this node follows on behalf of all nodes. One ready node of an
    /// engine's zone does so, since traffic between zones is expensive, or one of all nodes when
    /// the zone has none that is ready.
    ///
    /// None in a large deployment: a node that starts to follow an engine is sent the whole content
    /// of its cache, which is much for the low-bandwidth links there, and with many nodes the
    /// followers change often.
    pub fn caches_to_follow(&self) -> Vec<(BackEndName, SocketAddr)> {
        let state = self.state();
        let has_run_for = |after| self.uptime() >= after;
        let may_follow = self.settings().cache_follow_delay.is_some_and(has_run_for);
        if !may_follow || state.node_state != NodeState::Ready || state.peers.is_large() {
            return Vec::new();
        }
        let engines = state.engines.iter();
        let engines = engines.filter(|engine| !engine.entry.weights.is_empty());
        let engines = engines.filter(|engine| engine.is_in_service());
        engines
            .filter(|engine| self.follows_cache(&state, engine))
            .map(|engine| (engine.entry.name.clone(), engine.entry.address))
            .collect()
    }

    fn follows_cache(&self, state: &GatewayState, engine: &Engine) -> bool {
        let now = self.clock().now();
        let own = &self.settings().identity;
        let score = |name: &NodeName| {
            let node_hash = xxh3_64(name.as_str().as_bytes());
            rendezvous_score(engine.name_hash, node_hash)
        };
        let own_score = score(&own.name);
        let zone = &engine.entry.zone;
        let mut near = state
            .peers
            .ready(now)
            .filter(|peer| peer.identity.zone == *zone);
        if own.zone == *zone {
            return near.all(|peer| score(&peer.identity.name) <= own_score);
        }
        let mut all = state.peers.ready(now);
        near.next().is_none() && all.all(|peer| score(&peer.identity.name) <= own_score)
    }

    /// Applies changes of an engine's cache. The first batch is its whole content, all of which is
    /// new to a node that has just started; later batches count only for prefixes that some request
    /// has shared.
    pub fn apply_cache_changes(
        &self,
        engine: &BackEndName,
        changes: &[CacheChange],
        is_first: bool,
    ) {
        // Only the last change of a part counts.
        let latest: BTreeMap<PartKey, &CacheChange> =
            changes.iter().map(|change| (change.key, change)).collect();
        let now = self.clock().now();
        let mut state = self.state_mut();
        if state.engines.get(engine).is_none() {
            return;
        }
        if is_first {
            info!(self.log(), "cache_followed"; "engine" => %engine, "parts" => latest.len());
        }
        for (key, change) in latest {
            let is_worth_announcing = change.tokens >= MIN_ANNOUNCED_TOKENS;
            match change.is_held {
                true if is_worth_announcing && is_first => {
                    self.note_holder(&mut state, key, engine)
                }
                // The node that sent the request which computed this prefix reports it to the
                // others.
                true if is_worth_announcing && state.holders.contains(key) => {
                    state.holders.note(key, engine, now)
                }
                true => {}
                false => note_dropped(&mut state, key, engine),
            }
        }
    }

    /// Forgets the parts that an engine is believed to hold, and that its whole content, asked for at `asked_at`, lacks.
    /// Parts used shortly before may not have been computed by then.
    pub fn forget_uncached_parts(
        &self,
        engine: &BackEndName,
        content: &[CacheChange],
        asked_at: Timestamp,
    ) {
        let held: BTreeSet<PartKey> = content.iter().map(|change| change.key).collect();
        let mut state = self.state_mut();
        let used_by = asked_at.before(COMPUTATION_TIME);
        let believed = state.holders.held_by(engine, used_by);
        let gone: Vec<_> = believed.filter(|key| !held.contains(key)).collect();
        info!(self.log(), "cache_read_anew"; "engine" => %engine, "parts" => held.len(),
            "gone" => gone.len());
        for key in gone {
            note_dropped(&mut state, key, engine);
        }
    }
}

fn note_dropped(state: &mut GatewayState, key: PartKey, engine: &BackEndName) {
    let is_new = state.holders.forget(key, engine);
    if is_new && state.drop_updates.len() < MAX_QUEUED_DROPS {
        state.drop_updates.push(HolderUpdate(key, engine.clone()));
    }
}
