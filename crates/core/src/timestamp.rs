//! The time type of every decision.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since the Unix epoch, or since the start of a simulation.
///
/// Decisions take the time as an argument, so a virtual clock can drive them.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest time there is.
    pub const ZERO: Self = Self(0);

    /// A time given in microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A time given in milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time `duration` later, or the last representable time.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// The time `duration` earlier, or [`Timestamp::ZERO`].
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// How long `earlier` lies before this time; zero when it does not.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
