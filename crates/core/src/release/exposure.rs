//! How much the target version gets during the trial, and where.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fleet;

/// Requests go to a small pool's target version in surges, one in each period of this length. At a share of
/// 0.085 a surge then lasts a quarter of a second or more, long enough to load an engine as it is in use.
const SURGE_INTERVAL: Duration = Duration::from_secs(3);
/// With so many engines under trial at once, one that fails by itself stands out; fewer take turns ..
const MIN_ENGINES_WITHOUT_ROTATION: usize = 3;
/// .. of this length: enough for an engine to answer some requests, and short enough for several engines to
/// have answered after three turns.
const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Engines of the target version that are under trial: some of them in the order that all nodes know,
/// beginning anywhere in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The first of them.
    #[serde(rename = "f")]
    pub first: u32,
    /// How many.
    #[serde(rename = "c")]
    pub count: u32,
}

impl Window {
    /// Whether the engine at a place of so many is among them.
    pub fn holds(&self, place: usize, engines: usize) -> bool {
        if engines == 0 {
            return false;
        }
        let after = (place + engines - self.first as usize % engines) % engines;
        after < self.count as usize
    }
}

/// How much the target version gets now, and which of its engines.
///
/// Some versions fail only under load, so its share goes to so few engines that each bears what an
/// engine of the present version bears. Where the share is less than one engine's part, that part goes
/// there for a share of the time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exposure {
    /// Share of the requests.
    pub share: f64,
    /// The engines.
    pub window: Window,
}

impl Exposure {
    /// During the trial, so long after it began; `share` is what the target version may get on average.
    pub fn during_trial(share: f64, fleet: &Fleet, elapsed: Duration) -> Self {
        let present = fleet.present.max(1) as f64;
        let engines = ((share * present) as usize).clamp(1, fleet.target.max(1));
        let part = engines as f64 / present;
        let surge_share = (share / part).min(1.0);
        let periods = elapsed.as_secs_f64() / SURGE_INTERVAL.as_secs_f64();
        let is_surge = periods.fract() < surge_share;
        let targets = fleet.target.max(1);
        let passed = match engines < MIN_ENGINES_WITHOUT_ROTATION {
            true => rotations_before(periods, surge_share) * engines,
            false => 0,
        };
        // Each round begins one engine later: the last turn of a surge may be short, and would else always
        // be that of the same engines.
        let first = (passed + passed / targets) % targets;
        Self {
            share: match is_surge {
                // A larger part than the share is bounded by the nodes' accounts.
                true => part.min(1.0),
                false => 0.0,
            },
            window: Window {
                first: first as u32,
                count: engines as u32,
            },
        }
    }
}

/// How many turns have begun before the present one, after so many surge periods of which a surge takes
/// `surge_share`.
fn rotations_before(periods: f64, surge_share: f64) -> usize {
    let rotations_per_interval = SURGE_INTERVAL.as_secs_f64() / ROTATION_INTERVAL.as_secs_f64();
    let rotations_per_surge = (surge_share * rotations_per_interval).ceil().max(1.0);
    let rotations_in_surge =
        (periods.fract() * rotations_per_interval).min(rotations_per_surge - 1.0);
    (periods.trunc() * rotations_per_surge) as usize + rotations_in_surge as usize
}
