//! How long the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Shorter ones count as none: a process may be held up for some milliseconds between the readings of two clocks.
const SHORTEST: Duration = Duration::from_millis(50);

/// How long the machine was suspended since a moment.
#[derive(Debug, Clone, Copy)]
pub struct Suspensions {
    read: fn() -> Duration,
    before: Duration,
}

impl Suspensions {
    /// Those of this machine from now on.
    pub fn of_machine() -> Self {
        Self::read_by(suspended_since_boot)
    }

    /// Those that `read` tells from now on: the length of all that there were.
    pub fn read_by(read: fn() -> Duration) -> Self {
        Self {
            read,
            before: read(),
        }
    }

    /// The length of all of them.
    pub fn total(&self) -> Duration {
        let total = (self.read)().saturating_sub(self.before);
        match total < SHORTEST {
            true => Duration::ZERO,
            false => total,
        }
    }
}

/// What the clock that counts suspensions is ahead of the steady one, which does not.
fn suspended_since_boot() -> Duration {
    // In this order: what passes between the readings makes it less, and never looks like a suspension.
    let with = clock_gettime(ClockId::Boottime);
    let without = clock_gettime(ClockId::Monotonic);
    length(with).saturating_sub(length(without))
}

fn length(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
