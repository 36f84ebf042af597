//! All known engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;

use ryerouter_core::identity::{BackEndName, PoolName};

use super::removed_conditions::RemovedConditions;
use super::{Engine, EngineEntry, EngineLoad, EngineState, IncarnationOrder};

/// All known engines. Iterates in order of name, so that decisions are reproducible.
#[derive(Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<BackEndName, Engine>,
    removed: RemovedConditions,
    /// Engines with a load from other processes in the last call of [`Self::set_foreign_loads`].
    loaded: Vec<BackEndName>,
    /// Incremented whenever an engine may have changed.
    generation: u64,
}

impl EngineTable {
    /// The engine called `name`.
    pub fn get(&self, name: &BackEndName) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// The engine called `name`, for modification.
    pub fn get_mut(&mut self, name: &BackEndName) -> Option<&mut Engine> {
        self.generation += 1;
        self.engines.get_mut(name)
    }

    /// Changes when a result computed from all engines may be outdated. Changes of the load of
    /// other processes are not counted.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of engines.
    pub fn count(&self) -> usize {
        self.engines.len()
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The engines whose names come after `name`; all engines if `name` is `None`.
    pub fn after(&self, name: Option<&BackEndName>) -> impl Iterator<Item = &Engine> {
        let begin = name.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self
            .engines
            .range::<BackEndName, _>((begin, Bound::Unbounded));
        later.map(|(_, engine)| engine)
    }

    /// All engines, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.generation += 1;
        self.engines.values_mut()
    }

    /// The engines of a pool.
    pub fn of_pool<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Engine> {
        self.iter().filter(move |engine| engine.entry.pool == *pool)
    }

    /// Inserts or updates an engine from its list entry. Versions of weights that the engine itself
    /// has reported are kept if they are newer. If the engine has restarted, all of its former
    /// state is dropped, and requests still in progress at the former incarnation don't count as
    /// load of the new one.
    pub fn upsert(&mut self, mut entry: EngineEntry) {
        self.generation += 1;
        let Some(engine) = self.engines.get_mut(&entry.name) else {
            let name = entry.name.clone();
            let former = self.removed.take(&name, entry.incarnation);
            let mut engine = Engine::new(entry);
            engine.condition = former.unwrap_or_default();
            self.engines.insert(name, engine);
            return;
        };
        match IncarnationOrder::new(engine.entry.incarnation, entry.incarnation) {
            IncarnationOrder::Same => {}
            IncarnationOrder::Newer => {
                *engine = Engine::new(entry);
                return;
            }
            IncarnationOrder::Older => return,
        }
        if engine.entry.state == EngineState::Draining {
            // A process that leaves does not come back, whatever a copy of the source says.
            entry.state = EngineState::Draining;
        }
        entry.incarnation = entry.incarnation.or(engine.entry.incarnation);
        let known = std::mem::take(&mut engine.entry.weights);
        engine.entry = entry;
        engine.is_unlisted = false;
        for (model, version) in known {
            engine.note_weights(&model, version);
        }
    }

    /// Removes an engine. The state it has signalled is kept in case it is listed again.
    pub fn remove(&mut self, name: &BackEndName) -> Option<Engine> {
        self.generation += 1;
        let engine = self.engines.remove(name)?;
        let condition = engine.condition.clone();
        self.removed.keep(name, engine.entry.incarnation, condition);
        Some(engine)
    }

    /// Names of all engines that are not in `keep`.
    pub fn names_outside(&self, keep: &HashSet<&BackEndName>) -> Vec<BackEndName> {
        let is_outside = |name: &&BackEndName| !keep.contains(name);
        self.engines.keys().filter(is_outside).cloned().collect()
    }

    /// Replaces the loads of other processes. Only engines that have or had such load are touched:
    /// they are few in a large fleet, and this runs many times per second.
    pub fn set_foreign_loads(&mut self, loads: &HashMap<BackEndName, EngineLoad>) {
        for name in std::mem::take(&mut self.loaded) {
            if let Some(engine) = self.engines.get_mut(&name) {
                engine.foreign_load = EngineLoad::default();
            }
        }
        for (name, load) in loads {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.foreign_load = *load;
                self.loaded.push(name.clone());
            }
        }
    }
}
