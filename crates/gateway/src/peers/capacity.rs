//! How much a node can bear.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Requests a second that a core forwards with streams, logging and news beside it (estimate, on the
/// safe side); only the proportion between nodes counts.
const REQUESTS_PER_CORE: f64 = 1_000.0;
/// Requests a second that a megabit a second carries: ten kilobytes each, with their answers.
const REQUESTS_PER_MEGABIT: f64 = 12.5;
/// What a node bears that does not tell: about a tenth of a core, so that an older version on a small
/// machine is not sent more than its share.
const UNTOLD: u32 = 100;

/// How much a node can bear, in requests a second. Callers are sent to nodes in proportion while the node
/// that answers them is pressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    /// Of a machine with so many cores, or a share of one, and a link of so many megabits a second:
    /// whichever is used up first.
    pub fn of_machine(cores: f64, link_megabits: f64) -> Self {
        let by_cores = cores * REQUESTS_PER_CORE;
        let by_link = link_megabits * REQUESTS_PER_MEGABIT;
        Self(by_cores.min(by_link).max(1.0) as u32)
    }

    /// As a weight among others.
    pub fn weight(self) -> f64 {
        f64::from(self.0.max(1))
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self(UNTOLD)
    }
}
