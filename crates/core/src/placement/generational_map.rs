//! Bounded map that evicts unused entries.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;

use super::fixed_hasher::FixedHasher;
use crate::prompt::BlockHash;

type Generation<V> = HashMap<BlockHash, V, BuildHasherDefault<FixedHasher>>;

/// A map of at most `2 × generation_size` entries that evicts those not written for longest.
///
/// Entries are stored in two generations. A write puts the entry into the young generation. When
/// that is full it becomes the old one, and the previous old one is dropped. Each operation takes
/// constant time, and nothing iterates over entries, so results do not depend on their order in
/// memory.
#[derive(Debug, Clone)]
pub struct GenerationalMap<V> {
    generation_size: usize,
    young: Generation<V>,
    old: Generation<V>,
}

impl<V> GenerationalMap<V> {
    /// Creates an empty map with two generations of this size.
    pub fn new(generation_size: usize) -> Self {
        Self {
            generation_size: generation_size.max(1),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// The entry, if it has not been evicted.
    pub fn get(&self, key: BlockHash) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// The entry for writing, created by `create` when there is none.
    pub fn get_or_insert_with(&mut self, key: BlockHash, create: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(&key) {
            self.make_room();
            let value = self.old.remove(&key).unwrap_or_else(create);
            self.young.insert(key, value);
        }
        self.young.get_mut(&key).expect("just inserted")
    }

    /// The entry for writing, if it has not been evicted.
    pub fn get_mut(&mut self, key: BlockHash) -> Option<&mut V> {
        self.young.get_mut(&key).or_else(|| self.old.get_mut(&key))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn make_room(&mut self) {
        if self.young.len() >= self.generation_size {
            self.old = std::mem::take(&mut self.young);
        }
    }
}
