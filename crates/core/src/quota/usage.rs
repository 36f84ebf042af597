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
}

impl Usage {
    /// Adds the usage at other nodes.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.admitted += other.admitted;
    }
}
