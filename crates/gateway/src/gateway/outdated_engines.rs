//! Whether engines have older weights than published.

use crate::engines::{Engine, EngineTable};
use crate::rollout::WeightsDeadlines;

/// Whether any engine that is not leaving has older weights than published, cached from the last
/// lookup.
///
/// This is queried many times a second, so the engines are scanned only when one of them or the
/// published versions have changed.
#[derive(Debug, Default)]
pub struct OutdatedEngines {
    /// Generation of the engine table at the last scan.
    generation: u64,
    /// Published models and versions at the last scan.
    published: Vec<(String, u64)>,
    is_any: bool,
}

impl OutdatedEngines {
    /// Whether any engine that is not leaving has older weights than published.
    pub fn is_any(&mut self, engines: &EngineTable, deadlines: &WeightsDeadlines) -> bool {
        let published = deadlines.newest();
        let published: Vec<_> = published
            .map(|(model, version)| (model.to_owned(), version))
            .collect();
        let generation = engines.generation();
        if generation != self.generation || published != self.published {
            let is_any = published
                .iter()
                .any(|(model, newest)| has_older(engines, model, *newest));
            *self = Self {
                generation,
                published,
                is_any,
            };
        }
        self.is_any
    }
}

/// Number of engines that are not leaving and have older weights than published.
pub(super) fn outdated_count(engines: &EngineTable, deadlines: &WeightsDeadlines) -> usize {
    let newest: Vec<_> = deadlines.newest().collect();
    let is_outdated = |engine: &&Engine| {
        let mut newest = newest.iter();
        newest.any(|(model, version)| is_older(engine, model, *version))
    };
    engines.iter().filter(is_outdated).count()
}

fn has_older(engines: &EngineTable, model: &str, newest: u64) -> bool {
    engines.iter().any(|engine| is_older(engine, model, newest))
}

fn is_older(engine: &Engine, model: &str, newest: u64) -> bool {
    let is_in_service = engine.is_in_service();
    is_in_service && engine.weights_of(model).is_some_and(|has| has < newest)
}
