//! The log on standard output.

use std::io::{self, Write};
use std::time::SystemTime;

use slog::{Drain, Logger, Record, o};
use slog_async::{Async, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Lines that may wait for the output; more are dropped and counted.
const MOST_WAITING_LINES: usize = 512;

/// A logger of key=value lines on standard output that never blocks its caller.
pub fn new_logger(node: &str) -> Logger {
    let lines = Logfmt::new(io::stdout()).set_prefix(write_prefix).build();
    let drain = Async::new(lines.fuse())
        .chan_size(MOST_WAITING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}

fn write_prefix(output: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let level = record.level().as_str().to_ascii_lowercase();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time = since_epoch.unwrap_or_default().as_millis();
    write!(
        output,
        "event={} time_ms={time} level={level} ",
        record.msg()
    )?;
    Ok(())
}
