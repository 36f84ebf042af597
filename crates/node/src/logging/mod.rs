//! Log lines: one event a line, key=value, the event's name first.

use std::io;

use slog::{Drain, Level, Logger, Record, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Log lines that may wait to be written.
const QUEUE_LINES: usize = 8_192;

/// A logger of lines of `level` and above to `output`.
///
/// Lines are written by a thread of their own. When it falls behind, lines are dropped and their
/// number is logged: traffic does not wait for logs.
pub fn logger<W: io::Write + Send + 'static>(output: W, level: Level) -> Logger {
    let lines = Logfmt::new(output).set_prefix(write_prefix).build();
    let queue = Async::new(lines.fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let filtered = queue.filter_level(level);
    Logger::root(filtered.fuse(), o!())
}

/// A logger that writes nothing.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn write_prefix(output: &mut dyn io::Write, record: &Record<'_>) -> slog::Result {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(output, "event={} level={level} ", record.msg())?;
    Ok(())
}
