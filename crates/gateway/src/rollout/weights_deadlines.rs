//! Until when older weights may be used.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// Versions of one model that are remembered.
const MOST_REMEMBERED: usize = 64;

/// Which versions of weights were named, and until when older ones may still be used.
#[derive(Debug)]
pub struct WeightsDeadlines {
    grace: Duration,
    /// By model, the versions in rising order with the time at which each was heard of.
    named: HashMap<String, Vec<(u64, Timestamp)>>,
}

impl WeightsDeadlines {
    /// Older weights may be used for `grace` after a newer version was named.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            named: HashMap::new(),
        }
    }

    /// A version was named, at the latest at `at`; `true` when it is the newest.
    pub fn note(&mut self, model: &str, version: u64, at: Timestamp) -> bool {
        let named = self.named.entry(model.to_owned()).or_default();
        let newest = named.last().map_or(0, |(newest, _)| *newest);
        match named.binary_search_by_key(&version, |(known, _)| *known) {
            Ok(index) => named[index].1 = named[index].1.min(at),
            Err(index) => named.insert(index, (version, at)),
        }
        if named.len() > MOST_REMEMBERED {
            named.remove(0);
        }
        version > newest
    }

    /// The newest version of each model.
    pub fn newest(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named
            .iter()
            .filter_map(|(model, named)| Some((model.as_str(), named.last()?.0)))
    }

    /// When requests may no longer begin on `version`; `None` while it is the newest.
    pub fn until(&self, model: &str, version: u64) -> Option<Timestamp> {
        let named = self.named.get(model)?;
        let next = named.iter().find(|(known, _)| *known > version)?;
        Some(next.1.after(self.grace))
    }

    /// Whether requests may begin on `version` now.
    pub fn allows(&self, model: &str, version: u64, now: Timestamp) -> bool {
        self.until(model, version).is_none_or(|until| now < until)
    }
}
