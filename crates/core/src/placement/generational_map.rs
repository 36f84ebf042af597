//! A bounded map that forgets what is not used.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;

use super::fixed_hasher::FixedHasher;
use crate::prompt::BlockHash;

type Generation<V> = HashMap<BlockHash, V, BuildHasherDefault<FixedHasher>>;

/// A map of at most `2 × generation_size` entries that forgets those not written for longest.
///
/// Entries live in two generations. A write puts the entry into the young one; when that is full
/// it becomes the old one and the old one is dropped. Each operation takes constant time, and
/// nothing iterates over entries, so their order in memory decides nothing.
#[derive(Debug, Clone)]
pub struct GenerationalMap<V> {
    generation_size: usize,
    young: Generation<V>,
    old: Generation<V>,
}

impl<V> GenerationalMap<V> {
    /// An empty map of two generations of this size.
    pub fn new(generation_size: usize) -> Self {
        Self {
            generation_size: generation_size.max(1),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// The entry, if it is still known.
    pub fn get(&self, key: BlockHash) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// The entry for writing, made by `create` when it is not known.
    pub fn get_or_insert_with(&mut self, key: BlockHash, create: impl FnOnce() -> V) -> &mut V {
        if !self.young.contains_key(&key) {
            self.make_room();
            let value = self.old.remove(&key).unwrap_or_else(create);
            self.young.insert(key, value);
        }
        self.young.get_mut(&key).expect("just inserted")
    }

    /// The entry for writing, if it is still known.
    pub fn get_mut(&mut self, key: BlockHash) -> Option<&mut V> {
        self.young.get_mut(&key).or_else(|| self.old.get_mut(&key))
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn make_room(&mut self) {
        if self.young.len() >= self.generation_size {
            self.old = std::mem::take(&mut self.young);
        }
    }
}
