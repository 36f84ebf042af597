//! How long permits are held.

use std::time::Duration;

/// Assumed before the first permit is returned.
const INITIAL: Duration = Duration::from_millis(200);
/// Weight of a new value in the average.
const WEIGHT: f64 = 0.1;

/// Moving average of the time for which permits are held.
#[derive(Debug, Clone, Copy)]
pub(super) struct HoldTime(Duration);

impl Default for HoldTime {
    fn default() -> Self {
        Self(INITIAL)
    }
}

impl HoldTime {
    pub(super) fn note(&mut self, time: Duration) {
        self.0 = self.0.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT);
    }

    /// Time until `position` further permits have been returned, of `issued` ones.
    pub(super) fn until_returned(self, position: usize, issued: u32) -> Duration {
        self.0.mul_f64(position as f64 / f64::from(issued.max(1)))
    }
}
