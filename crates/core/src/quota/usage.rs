//! What is asked for and admitted.

use serde::{Deserialize, Serialize};

/// What a tenant asked for and what was admitted, both a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Asked for, refused requests included.
    #[serde(rename = "q")]
    pub asked: f32,
    /// Admitted.
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
