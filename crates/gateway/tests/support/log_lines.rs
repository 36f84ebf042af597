//! The lines that a gateway writes to its log.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use slog::{Drain, Logger, o};
use slog_logfmt::Logfmt;

/// The lines that a gateway has written to its log.
#[derive(Debug, Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    /// A logger whose lines are kept here.
    pub fn logger(&self) -> Logger {
        let lines = Logfmt::new(self.clone()).set_prefix(|output, record| {
            write!(output, "event={} ", record.msg())?;
            Ok(())
        });
        Logger::root(Mutex::new(lines.build()).fuse(), o!())
    }

    /// The lines of an event so far.
    pub fn of(&self, event: &str) -> Vec<String> {
        let written = self.0.lock().expect("lines");
        let written = String::from_utf8_lossy(&written);
        let prefix = format!("event={event} ");
        let lines = written.lines().filter(|line| line.starts_with(&prefix));
        lines.map(str::to_owned).collect()
    }
}

/// The value of a key of a line.
pub fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find_map(|(known, value)| (known == key).then_some(value))
}

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
