//! News on its way to other nodes.

use std::collections::BTreeMap;

use serde::Serialize;

use super::NewsItem;

/// News on its way to other nodes. Each item goes out with a bounded number of messages, the least
/// told first, so news reaches all nodes with high probability at a cost that does not depend on
/// how much was told before.
#[derive(Debug, Clone)]
pub struct NewsQueue<K, V> {
    items: BTreeMap<K, NewsItem<V>>,
    capacity: usize,
}

impl<K: Ord + Clone, V: Clone + Serialize> NewsQueue<K, V> {
    const FEW_MESSAGES: u32 = 6;

    /// A queue that keeps at most `capacity` items; beyond that the most told one goes, and the
    /// exchange of tables has to bring it.
    pub fn new(capacity: usize) -> Self {
        Self {
            items: BTreeMap::new(),
            capacity,
        }
    }

    /// Adds news; it replaces older news about the same thing.
    pub fn insert(&mut self, key: K, value: V) {
        let encoded_length = serde_json::to_vec(&value).map_or(0, |text| text.len());
        let item = NewsItem {
            value,
            encoded_length,
            told: 0,
        };
        self.items.insert(key, item);
        if self.items.len() > self.capacity {
            self.remove_most_told();
        }
    }

    /// Takes news for one message and its length off `room` bytes; an item told `limit` times
    /// goes.
    pub fn take(&mut self, room: &mut usize, limit: u32) -> Vec<V> {
        let mut taken = Vec::new();
        for key in self.least_told_first() {
            let Some(item) = self.items.get_mut(&key) else {
                continue;
            };
            let cost = item.encoded_length + 1;
            if cost > *room {
                continue;
            }
            *room -= cost;
            item.told += 1;
            taken.push(item.value.clone());
            if item.told >= limit {
                self.items.remove(&key);
            }
        }
        taken
    }

    /// Number of items that went out with few messages yet.
    pub fn untold(&self) -> usize {
        self.items
            .values()
            .filter(|item| item.told < Self::FEW_MESSAGES)
            .count()
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn least_told_first(&self) -> Vec<K> {
        let mut keys: Vec<(u32, &K)> = self
            .items
            .iter()
            .map(|(key, item)| (item.told, key))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, key)| key.clone()).collect()
    }

    fn remove_most_told(&mut self) {
        let most_told = self
            .items
            .iter()
            .max_by_key(|(_, item)| item.told)
            .map(|(key, _)| key.clone());
        if let Some(key) = most_told {
            self.items.remove(&key);
        }
    }
}
