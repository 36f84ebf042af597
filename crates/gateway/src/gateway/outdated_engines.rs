//! Whether engines have older weights than named.

use crate::engines::EngineTable;
use crate::rollout::WeightsDeadlines;

/// Whether some engine that stays has older weights than named, as it was last looked up.
///
/// That is asked many times a second, so all engines are looked at only when one of them, or what is named, has changed.
#[derive(Debug, Default)]
pub struct OutdatedEngines {
    /// The engines that were looked at.
    generation: u64,
    /// What was named: models and versions.
    named: Vec<(String, u64)>,
    is_any: bool,
}

impl OutdatedEngines {
    /// Whether there is one now.
    pub fn is_any(&mut self, engines: &EngineTable, deadlines: &WeightsDeadlines) -> bool {
        let named = deadlines.newest();
        let named: Vec<_> = named
            .map(|(model, version)| (model.to_owned(), version))
            .collect();
        let generation = engines.generation();
        if generation != self.generation || named != self.named {
            let is_any = named
                .iter()
                .any(|(model, newest)| has_older(engines, model, *newest));
            *self = Self {
                generation,
                named,
                is_any,
            };
        }
        self.is_any
    }
}

fn has_older(engines: &EngineTable, model: &str, newest: u64) -> bool {
    engines.iter().any(|engine| {
        let is_staying = engine.is_staying();
        is_staying && engine.weights_of(model).is_some_and(|has| has < newest)
    })
}
