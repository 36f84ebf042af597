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

/// Engines of the own zone that are compared.
const MAX_NEAR_ENGINES: usize = 4;
/// Engines of other zones that are compared.
const MAX_FAR_ENGINES: usize = 2;

/// The engines that are compared for one request.
///
/// What a node knows of an engine is some hundred milliseconds old and the same on all nodes. If
/// each compared all engines, all would send to the one that looked idle last, and fill its queue
/// before they heard of it. So each request compares a few engines that its name draws, as in the
/// choice of the better of two at random; see docs/design/placement-of-many-nodes.md.
pub(super) struct Sample {
    /// `None` when all engines are compared.
    engines: Option<BTreeSet<BackEndName>>,
}

impl Sample {
    /// Draws the engines for a request: those kept for its kind, and while weights are being
    /// replaced also the others that have the newest, since to begin on replaced ones costs more
    /// than to be misplaced.
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
        let eligible = eligible
            .filter(|engine| chooser.is_reserved_for(engine, request) || has_newest(engine));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            eligible.partition(|engine| engine.entry.zone == *chooser.zone);
        let order = |engine: &&Engine| rendezvous_score(key, engine.name_hash);
        keep_first(&mut near, MAX_NEAR_ENGINES, order);
        // Those of other regions come last: they are far for every request.
        keep_first(&mut far, MAX_FAR_ENGINES, |engine| {
            (chooser.distance(engine), order(engine))
        });
        let drawn = near.iter().chain(&far);
        let names = drawn.map(|engine| engine.entry.name.clone());
        Self {
            engines: Some(names.collect()),
        }
    }

    /// Whether not all engines are compared.
    pub(super) fn is_limited(&self) -> bool {
        self.engines.is_some()
    }

    /// Whether an engine is compared.
    pub(super) fn includes(&self, engine: &Engine) -> bool {
        let engines = self.engines.as_ref();
        engines.is_none_or(|engines| engines.contains(&engine.entry.name))
    }
}

/// Keeps the first `most` by `order`, without putting the others in order: a pool may have ten thousand.
fn keep_first<K: Ord>(engines: &mut Vec<&Engine>, most: usize, order: impl Fn(&&Engine) -> K) {
    if engines.len() > most {
        engines.select_nth_unstable_by_key(most, |engine| order(engine));
        engines.truncate(most);
    }
}
