//! How long answers take at one address.

use std::time::Duration;

use ryerouter_core::Timestamp;

use crate::smoothed_time::{Gains, SmoothedTime};

/// Weight of a new answer (RFC 6298, 2.3).
const GAINS: Gains = Gains {
    mean: 0.125,
    deviation: 0.25,
};
/// So many deviations above the mean an answer counts as overdue (RFC 6298, 2.3).
const DEVIATIONS: f64 = 4.0;
/// An answer is not overdue sooner, however quick the others were: a server may pause for so long,
/// for instance because its machine is busy. Under half of the shortest limit of a lease or an
/// order, so that a second try still fits.
pub(super) const LEAST_PATIENCE: Duration = Duration::from_millis(250);
/// Patience while nothing was measured (RFC 6298, 2.1).
const FIRST_PATIENCE: Duration = Duration::from_secs(1);
/// The same as a share of the call's own limit, so that a second try still fits.
const FIRST_LIMIT_SHARE: f64 = 0.5;
/// Doublings after unanswered calls (RFC 6298, 5.5); the limit of each call is the ceiling anyway.
const MOST_DOUBLINGS: u32 = 6;

/// How long answers take at one address, estimated as TCP estimates round trips (RFC 6298).
///
/// A server that has become slow is learned from late answers, also those to calls that were given
/// up; each unanswered call doubles the patience until the next answer, so that a slow server is not
/// asked twice over and over.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    measured: Option<SmoothedTime>,
    doublings: u32,
    doubled_at: Timestamp,
}

impl AnswerTimes {
    /// An answer came after so long.
    pub fn note(&mut self, taken: Duration) {
        self.doublings = 0;
        match &mut self.measured {
            None => self.measured = Some(SmoothedTime::first(taken)),
            Some(measured) => measured.note(taken, GAINS),
        }
    }

    /// A call sent at `sent_at` has no answer now. Calls that were under way together count once.
    pub fn back_off(&mut self, sent_at: Timestamp, now: Timestamp) {
        if self.doublings > 0 && sent_at < self.doubled_at {
            return;
        }
        self.doublings = (self.doublings + 1).min(MOST_DOUBLINGS);
        self.doubled_at = now;
    }

    /// How long a call with this limit may be without an answer until its connection counts as
    /// silent.
    pub fn patience(&self, limit: Duration) -> Duration {
        let first = FIRST_PATIENCE.min(limit.mul_f64(FIRST_LIMIT_SHARE));
        let patience = self.measured.map_or(first, |measured| {
            measured.above_mean(DEVIATIONS).max(LEAST_PATIENCE)
        });
        (patience * 2_u32.pow(self.doublings)).min(limit)
    }
}
