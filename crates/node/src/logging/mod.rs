//! Log lines: one event a line, key=value, the event's name first.

mod level_switch;
mod present;

use std::io;
use std::time::SystemTime;

pub use level_switch::LevelSwitch;
pub(crate) use present::Present;

use level_switch::SwitchedDrain;
use prost_types::Timestamp;
use slog::{Drain, Logger, Record, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Log lines that may wait to be written.
const QUEUE_LINES: usize = 8_192;

const NANOS_PER_MILLI: i32 = 1_000_000;

/// A logger to `output` of the lines that `switch` allows.
///
/// Lines are written by a thread of their own. When it falls behind, lines are dropped and their
/// number is logged: traffic does not wait for logs.
pub fn logger<W: io::Write + Send + 'static>(output: W, switch: &LevelSwitch) -> Logger {
    let lines = Logfmt::new(output).set_prefix(write_prefix).build();
    let queue = Async::new(lines.fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let filtered = SwitchedDrain {
        switch: switch.clone(),
        drain: queue,
    };
    Logger::root(filtered.fuse(), o!())
}

/// A logger that writes nothing.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn write_prefix(output: &mut dyn io::Write, record: &Record<'_>) -> slog::Result {
    let level = record.level().as_str().to_ascii_lowercase();
    let time = rfc3339(SystemTime::now());
    write!(output, "event={} time={time} level={level} ", record.msg())?;
    Ok(())
}

/// A time in UTC as RFC 3339 has it, to the millisecond.
fn rfc3339(time: SystemTime) -> String {
    let mut timestamp = Timestamp::from(time);
    timestamp.nanos -= timestamp.nanos % NANOS_PER_MILLI;
    timestamp.to_string()
}
