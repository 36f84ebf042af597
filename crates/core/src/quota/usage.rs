//! Amounts asked for and admitted.

use serde::{Deserialize, Serialize};

/// What a tenant asked for and what was admitted, both per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Amount asked for, including refused requests.
    #[serde(rename = "q")]
    pub asked: f32,
    /// Amount admitted.
    #[serde(rename = "a")]
    pub admitted: f32,
    /// Running total of the amount admitted, modulo 2^32; `None` from a node that does not count it.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub total: Option<u32>,
}

impl Usage {
    /// The form of a running total in reports.
    pub fn reported_total(total: f64) -> u32 {
        total.rem_euclid(f64::from(u32::MAX) + 1.0) as u32
    }

    /// Adds the rates of other nodes.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.admitted += other.admitted;
    }
}
