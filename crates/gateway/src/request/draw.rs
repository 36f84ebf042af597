//! Numbers drawn from request ids.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a number is drawn for. Numbers for different purposes are independent of each other, so that a request that one
/// decision lets pass isn't favoured by the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Draw {
    /// Whether the limit of its tenant admits a request.
    Limit,
    /// Whether the load of its pool admits a request.
    Load,
    /// Whether a request goes to the version of engines that is under trial.
    Release,
    /// When a refused caller returns.
    Return,
}

impl Draw {
    /// A number from 0 to 1, evenly distributed over requests, and the same at all nodes.
    pub fn of(self, request_id: &str) -> f64 {
        xxh3_64_with_seed(request_id.as_bytes(), self.seed()) as f64 / u64::MAX as f64
    }

    fn seed(self) -> u64 {
        match self {
            Self::Limit => 0,
            Self::Load => 1,
            Self::Release => 0x7265_6c65_6173_6573,
            Self::Return => 2,
        }
    }
}
