//! The engines that are compared for one request.

use std::collections::BTreeSet;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::placement::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

use super::Chooser;
use crate::engines::Engine;
use crate::placement::PlacementRequest;
use crate::placement::prompt_for_weights::PromptForWeights;
use crate::release::EngineFilter;

/// Maximum number of engines of this node's zone that are compared.
const MAX_NEAR_ENGINES: usize = 4;
/// Maximum number of engines of other zones that are compared.
const MAX_FAR_ENGINES: usize = 2;

/// The engines that are compared for one request.
///
/// Load reports of engines are some hundred milliseconds old and the same on all nodes. If every
/// node compared all engines, all nodes would send to the engine that was last reported idle and
/// fill its queue before its next report. Instead, each request compares a few engines chosen
/// pseudo-randomly by its id, as in the power of two choices; see
/// docs/design/placement-of-many-nodes.md.
pub(super) struct Sample {
    /// `None` if all engines are compared.
    engines: Option<BTreeSet<BackEndName>>,
}

impl Sample {
    /// Draws the engines for a request from those on its side of the prefill split. While weights
    /// are being replaced, engines on the other side that have the newest weights are drawn too,
    /// because starting on replaced weights costs more than using the wrong side.
    pub(super) fn draw(
        chooser: &Chooser<'_>,
        request: &PlacementRequest<'_>,
        versions: &[PromptForWeights],
        filter: &EngineFilter,
    ) -> Self {
        if !chooser.is_large {
            return Self { engines: None };
        }
        let prompt = request.prompt;
        let newest =
            prompt.and_then(|prompt| chooser.newest_weights_during_rollout(versions, prompt));
        let has_newest = |engine: &Engine| {
            let weights = prompt.and_then(|prompt| engine.serving_weights_of(&prompt.model));
            newest.is_some() && weights == newest
        };
        let key = xxh3_64(request.id.as_bytes());
        let eligible = chooser.engines.of_pool(request.pool);
        let eligible = eligible.filter(|engine| engine.takes_work(chooser.now));
        let eligible = eligible.filter(|engine| filter.admits(&engine.entry));
        let eligible =
            eligible.filter(|engine| chooser.matches_split(engine, request) || has_newest(engine));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            eligible.partition(|engine| engine.entry.zone == *chooser.zone);
        let order = |engine: &&Engine| rendezvous_score(key, engine.name_hash);
        keep_first(&mut near, MAX_NEAR_ENGINES, order);
        // Engines in other regions come last, because they are far away for every request.
        keep_first(&mut far, MAX_FAR_ENGINES, |engine| {
            (chooser.distance(engine), order(engine))
        });
        let drawn = near.iter().chain(&far);
        let names = drawn.map(|engine| engine.entry.name.clone());
        Self {
            engines: Some(names.collect()),
        }
    }

    /// Whether only some of the engines are compared.
    pub(super) fn is_limited(&self) -> bool {
        self.engines.is_some()
    }

    /// Whether an engine is compared.
    pub(super) fn includes(&self, engine: &Engine) -> bool {
        let engines = self.engines.as_ref();
        engines.is_none_or(|engines| engines.contains(&engine.entry.name))
    }
}

/// Keeps the first `count` engines by `order`. The engines are not fully sorted, because a pool may
/// have ten thousand of them.
fn keep_first<K: Ord>(engines: &mut Vec<&Engine>, count: usize, order: impl Fn(&&Engine) -> K) {
    if engines.len() > count {
        engines.select_nth_unstable_by_key(count, |engine| order(engine));
        engines.truncate(count);
    }
}
