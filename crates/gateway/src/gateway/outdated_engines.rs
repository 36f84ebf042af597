//! Whether engines have older weights than published.

use crate::engines::EngineTable;
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

fn has_older(engines: &EngineTable, model: &str, newest: u64) -> bool {
    engines.iter().any(|engine| {
        let is_in_service = engine.is_in_service();
        is_in_service && engine.weights_of(model).is_some_and(|has| has < newest)
    })
}
