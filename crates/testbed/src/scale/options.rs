//! Options of a run at scale.

use super::ScaleError;

/// Options of a run at scale.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    /// Router nodes.
    pub nodes: u64,
    /// Engines in the configuration.
    pub engines: u64,
    /// Makes the run's random choices its own.
    pub seed: u64,
    /// Virtual seconds that are measured, after the warm-up.
    pub seconds: u64,
    /// Requests a second over all nodes, for the tickets and claims that they cause; 0 is none.
    pub requests_per_second: u64,
    /// Thousandths of the requests that must run at most once.
    pub marked_permille: u64,
}

impl ScaleOptions {
    /// Most nodes that the address plan holds.
    const MAX_NODES: u64 = 60_000;

    /// Checks the options.
    ///
    /// # Errors
    ///
    /// An option can't be used.
    pub fn check(&self) -> Result<(), ScaleError> {
        check_range(
            "nodes",
            self.nodes,
            1,
            Self::MAX_NODES,
            "must be 1 to 60000",
        )?;
        check_range(
            "engines",
            self.engines,
            1,
            Self::MAX_NODES,
            "must be 1 to 60000",
        )?;
        check_range(
            "marked-permille",
            self.marked_permille,
            0,
            1_000,
            "must be 0 to 1000",
        )?;
        check_range("seconds", self.seconds, 60, 86_400, "must be 60 to 86400")
    }
}

fn check_range(
    option: &'static str,
    value: u64,
    least: u64,
    most: u64,
    reason: &'static str,
) -> Result<(), ScaleError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(ScaleError::BadOption {
        option,
        value,
        reason,
    })
}
