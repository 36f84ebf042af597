//! Watches how news spreads.

use std::collections::{BTreeMap, BTreeSet};

/// Watches until each piece of news is in force on all nodes that were up all the time.
#[derive(Debug)]
pub struct SpreadWatch<K> {
    waiting: BTreeMap<K, Spread>,
    seconds: Vec<f64>,
}

#[derive(Debug)]
struct Spread {
    began_micros: u64,
    without: BTreeSet<usize>,
}

const MICROS_PER_SECOND: f64 = 1_000_000.0;

impl<K: Ord + Clone> SpreadWatch<K> {
    /// Watches nothing yet.
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            seconds: Vec::new(),
        }
    }

    /// News begins to spread to `nodes`.
    pub fn begin(&mut self, news: K, nodes: BTreeSet<usize>, now_micros: u64) {
        let spread = Spread {
            began_micros: now_micros,
            without: nodes,
        };
        self.waiting.insert(news, spread);
    }

    /// News that spreads.
    pub fn waiting(&self) -> Vec<K> {
        self.waiting.keys().cloned().collect()
    }

    /// News is in force on `node`.
    pub fn in_force(&mut self, news: &K, node: usize, now_micros: u64) {
        let Some(spread) = self.waiting.get_mut(news) else {
            return;
        };
        spread.without.remove(&node);
        if spread.without.is_empty() {
            let elapsed = now_micros - spread.began_micros;
            self.seconds.push(elapsed as f64 / MICROS_PER_SECOND);
            self.waiting.remove(news);
        }
    }

    /// A node stopped, so nothing is expected of it any more.
    pub fn stopped(&mut self, node: usize, now_micros: u64) {
        for news in self.waiting() {
            self.in_force(&news, node, now_micros);
        }
    }

    /// How many pieces of news have reached all.
    pub fn finished(&self) -> usize {
        self.seconds.len()
    }

    /// How many have not.
    pub fn unfinished(&self) -> usize {
        self.waiting.len()
    }

    /// Seconds until everywhere at `quantile` of all news.
    pub fn seconds_at(&self, quantile: f64) -> f64 {
        let mut sorted = self.seconds.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        let index = (quantile * last as f64).ceil() as usize;
        sorted.get(index).copied().unwrap_or(f64::NAN)
    }
}
