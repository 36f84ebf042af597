//! All engines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;

use ryerouter_core::identity::{BackEndName, PoolName};

use super::removed_conditions::RemovedConditions;
use super::{Engine, EngineEntry, EngineLoad, IncarnationOrder};

/// All engines by name; iterates in order of name, so that decisions repeat.
#[derive(Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<BackEndName, Engine>,
    removed: RemovedConditions,
    /// Engines at which other processes have work, as far as they have told.
    loaded: Vec<BackEndName>,
    /// Rises whenever an engine may have changed.
    generation: u64,
}

impl EngineTable {
    /// The engine called `name`.
    pub fn get(&self, name: &BackEndName) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// The engine called `name`, to change it.
    pub fn get_mut(&mut self, name: &BackEndName) -> Option<&mut Engine> {
        self.generation += 1;
        self.engines.get_mut(name)
    }

    /// Another figure than before means that what was found out by a look at all engines may not hold any more. The
    /// work of other processes does not count.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.engines.len()
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The engines whose names come after `name`; all without.
    pub fn after(&self, name: Option<&BackEndName>) -> impl Iterator<Item = &Engine> {
        let begin = name.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self
            .engines
            .range::<BackEndName, _>((begin, Bound::Unbounded));
        later.map(|(_, engine)| engine)
    }

    /// All engines, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.generation += 1;
        self.engines.values_mut()
    }

    /// The engines of a pool.
    pub fn of_pool<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Engine> {
        self.iter().filter(move |engine| engine.entry.pool == *pool)
    }

    /// Takes an entry of the list; the weights known in-band may be newer. Of an engine that has begun
    /// again nothing is kept, and work that is still counted in its former life counts there alone.
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
        entry.incarnation = entry.incarnation.or(engine.entry.incarnation);
        let known = std::mem::take(&mut engine.entry.weights);
        engine.entry = entry;
        engine.is_unlisted = false;
        for (model, version) in known {
            engine.note_weights(&model, version);
        }
    }

    /// Forgets an engine, but for what it said of itself.
    pub fn remove(&mut self, name: &BackEndName) -> Option<Engine> {
        self.generation += 1;
        let engine = self.engines.remove(name)?;
        let condition = engine.condition.clone();
        self.removed.keep(name, engine.entry.incarnation, condition);
        Some(engine)
    }

    /// Names of all engines that `keep` does not hold.
    pub fn names_outside(&self, keep: &HashSet<&BackEndName>) -> Vec<BackEndName> {
        let is_outside = |name: &&BackEndName| !keep.contains(name);
        self.engines.keys().filter(is_outside).cloned().collect()
    }

    /// Replaces the work of other processes. Only the engines that have some, or had, are touched: of a fleet's these
    /// are few, and this happens many times a second.
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
