//! What is admitted in a zone.

/// Running total of what the nodes of this zone admitted of a tenant's requests.
#[derive(Debug, Clone, Copy)]
pub struct ZoneTotal {
    /// Amount admitted by this node.
    pub own: f64,
    others: f64,
    corrected: f64,
}

impl ZoneTotal {
    /// Begins to count; `correction` is the present running correction of the other nodes' rates.
    pub fn new(correction: f64) -> Self {
        Self {
            own: 0.0,
            others: 0.0,
            corrected: correction,
        }
    }

    /// Amount admitted by all.
    pub fn admitted(&self) -> f64 {
        self.own + self.others
    }

    /// Adds an amount by the rates of the other nodes, and what the running correction has changed by.
    pub fn add(&mut self, amount: f64, correction: f64) {
        self.others += amount + correction - self.corrected;
        self.corrected = correction;
    }
}
