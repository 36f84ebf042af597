//! Bounds lines that would come with each request.

use std::cell::Cell;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// Lines a second that tell of what went well.
const LINES_PER_SECOND: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);

/// Lets so many lines a second through and counts the others.
#[derive(Debug)]
pub struct LogSampler {
    lines_per_second: u32,
    second_began: Cell<Timestamp>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl Default for LogSampler {
    fn default() -> Self {
        Self::new(LINES_PER_SECOND)
    }
}

impl LogSampler {
    /// Lets so many lines a second through.
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            second_began: Cell::default(),
            written: Cell::default(),
            left_out: Cell::default(),
        }
    }

    /// `Some(left out since the last line)` when a line may be written now.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        if now.since(self.second_began.get()) >= SECOND {
            self.second_began.set(now);
            self.written.set(0);
        }
        if self.written.get() >= self.lines_per_second {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.replace(0))
    }
}
