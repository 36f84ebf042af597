//! Histogram of times.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets for each doubling; a quantile is at most an eighth too high.
const BUCKETS_PER_DOUBLING: u64 = 8;

/// Times in buckets that grow with the time; small on the wire, and histograms of many processes
/// add up.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyHistogram {
    counts: BTreeMap<u16, u64>,
}

impl LatencyHistogram {
    /// Counts a time.
    pub fn record(&mut self, time: Duration) {
        *self.counts.entry(bucket_of(time)).or_default() += 1;
    }

    /// Adds the counts of another.
    pub fn add(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            *self.counts.entry(*bucket).or_default() += count;
        }
    }

    /// How many times were counted.
    pub fn count(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Upper bound of the time below which `permille` thousandths lie; `None` without counts.
    pub fn quantile(&self, permille: u64) -> Option<Duration> {
        let rank = (self.count() * permille).div_ceil(1_000).max(1);
        let mut below = 0;
        for (bucket, count) in &self.counts {
            below += count;
            if below >= rank {
                return Some(upper_bound(*bucket));
            }
        }
        None
    }
}

fn bucket_of(time: Duration) -> u16 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    if millis < BUCKETS_PER_DOUBLING {
        return millis as u16;
    }
    let doublings = u64::from(millis.ilog2() - BUCKETS_PER_DOUBLING.ilog2());
    let within = (millis >> doublings) - BUCKETS_PER_DOUBLING;
    (BUCKETS_PER_DOUBLING * (doublings + 1) + within) as u16
}

fn upper_bound(bucket: u16) -> Duration {
    let bucket = u64::from(bucket);
    if bucket < BUCKETS_PER_DOUBLING {
        return Duration::from_millis(bucket + 1);
    }
    let doublings = bucket / BUCKETS_PER_DOUBLING - 1;
    let within = bucket % BUCKETS_PER_DOUBLING;
    let millis = (BUCKETS_PER_DOUBLING + within + 1).checked_shl(doublings as u32);
    Duration::from_millis(millis.unwrap_or(u64::MAX))
}
