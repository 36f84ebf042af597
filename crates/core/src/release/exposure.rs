//! Share of requests and engines of the target version during the trial.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fleet;

/// In a small pool, requests go to the target version in surges, one in each interval of this
/// length. At a share of 0.085 a surge then lasts at least a quarter of a second, long enough to
/// load an engine as in normal use.
const SURGE_INTERVAL: Duration = Duration::from_secs(3);
/// With at least this many engines under trial at once, a fault of a single engine can be
/// distinguished from one of the version. With fewer, other engines take their place at each
/// [`ROTATION_INTERVAL`].
const MIN_ENGINES_WITHOUT_ROTATION: usize = 3;
/// Time for which the same engines are under trial: long enough for an engine to answer some
/// requests, and short enough for several engines to have answered after three rotations.
const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Engines of the target version that are under trial: a range in the order of engines that all
/// nodes agree on. The range wraps around at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Index of the first engine.
    #[serde(rename = "f")]
    pub first: u32,
    /// Number of engines.
    #[serde(rename = "c")]
    pub count: u32,
}

impl Window {
    /// Whether the range contains the engine at index `index` of `engines` engines.
    pub fn contains(&self, index: usize, engines: usize) -> bool {
        if engines == 0 {
            return false;
        }
        let offset = (index + engines - self.first as usize % engines) % engines;
        offset < self.count as usize
    }
}

/// Share of the requests that the target version gets now, and the engines that get them.
///
/// Some versions fail only under load. Therefore the share goes to so few engines that each has the
/// load of an engine of the present version. If the share is too small even for one engine, the
/// engine gets its full load for a part of the time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// Share of new requests.
    pub share: f64,
    /// Engines that get the requests.
    pub window: Window,
}

impl Exposure {
    /// Computes the exposure at a time during the trial. `share` is the average share that the
    /// target version may get, and `elapsed` is the time since the release began.
    pub fn during_trial(share: f64, fleet: &Fleet, elapsed: Duration) -> Self {
        let present = fleet.present.max(1) as f64;
        let engines = ((share * present) as usize).clamp(1, fleet.target.max(1));
        let full_load_share = engines as f64 / present;
        let surge_share = (share / full_load_share).min(1.0);
        let intervals = elapsed.as_secs_f64() / SURGE_INTERVAL.as_secs_f64();
        let is_surge = intervals.fract() < surge_share;
        let targets = fleet.target.max(1);
        let rotated = match engines < MIN_ENGINES_WITHOUT_ROTATION {
            true => rotations_before(intervals, surge_share) * engines,
            false => 0,
        };
        // Each round starts one engine later. The last rotation of a surge may be short, and
        // without this shift it would always fall on the same engines.
        let first = (rotated + rotated / targets) % targets;
        Self {
            share: match is_surge {
                // This may exceed the average share; the budgets of the nodes limit the total.
                true => full_load_share.min(1.0),
                false => 0.0,
            },
            window: Window {
                first: first as u32,
                count: engines as u32,
            },
        }
    }
}

/// Number of rotations completed after `intervals` surge intervals, where a surge takes the share
/// `surge_share` of each interval.
fn rotations_before(intervals: f64, surge_share: f64) -> usize {
    let rotations_per_interval = SURGE_INTERVAL.as_secs_f64() / ROTATION_INTERVAL.as_secs_f64();
    let rotations_per_surge = (surge_share * rotations_per_interval).ceil().max(1.0);
    let rotations_in_surge =
        (intervals.fract() * rotations_per_interval).min(rotations_per_surge - 1.0);
    (intervals.trunc() * rotations_per_surge) as usize + rotations_in_surge as usize
}
