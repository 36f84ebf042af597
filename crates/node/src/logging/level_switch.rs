//! A log level that can be changed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ryerouter_settings::LogLevel;
use slog::{Drain, Level, OwnedKVList, Record};

/// The least severe level that is written; can be changed while the process runs.
#[derive(Debug, Clone)]
pub struct LevelSwitch {
    level: Arc<AtomicUsize>,
}

impl LevelSwitch {
    /// A switch at `level`.
    pub fn new(level: LogLevel) -> Self {
        let level = AtomicUsize::new(slog_level(level).as_usize());
        Self {
            level: Arc::new(level),
        }
    }

    /// Writes lines of `level` and more severe ones from now on.
    pub fn set(&self, level: LogLevel) {
        let level = slog_level(level).as_usize();
        self.level.store(level, Ordering::Relaxed);
    }

    fn allows(&self, level: Level) -> bool {
        level.as_usize() <= self.level.load(Ordering::Relaxed)
    }
}

/// Passes on the lines that a switch allows.
#[derive(Debug, Clone)]
pub(super) struct SwitchedDrain<D> {
    pub(super) switch: LevelSwitch,
    pub(super) drain: D,
}

impl<D: Drain<Ok = ()>> Drain for SwitchedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        if self.switch.allows(record.level()) {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}
