//! What this process uses.

use std::fs;
use std::time::Duration;

use super::ScaleError;

const STATUS_FILE: &str = "/proc/self/status";
const SCHEDULER_FILE: &str = "/proc/thread-self/schedstat";
const KIB: u64 = 1_024;

/// What this process uses at one time.
#[derive(Debug, Clone, Copy)]
pub struct ResourceUse {
    /// Resident memory of the process in bytes.
    pub resident_bytes: u64,
    /// Processor time of this thread; waiting for a processor is not in it.
    pub processor_time: Duration,
}

impl ResourceUse {
    /// What is used now.
    pub fn now() -> Result<Self, ScaleError> {
        Ok(Self {
            resident_bytes: resident_bytes()?,
            processor_time: processor_time()?,
        })
    }
}

fn resident_bytes() -> Result<u64, ScaleError> {
    let text = read(STATUS_FILE)?;
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok())
        .map(|kib| kib * KIB)
        .ok_or_else(|| unreadable(STATUS_FILE, "no VmRSS line"))
}

fn processor_time() -> Result<Duration, ScaleError> {
    let text = read(SCHEDULER_FILE)?;
    text.split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .map(Duration::from_nanos)
        .ok_or_else(|| unreadable(SCHEDULER_FILE, "no first number"))
}

fn read(file: &'static str) -> Result<String, ScaleError> {
    fs::read_to_string(file).map_err(|error| unreadable(file, &error.to_string()))
}

fn unreadable(file: &'static str, detail: &str) -> ScaleError {
    ScaleError::ResourceUse {
        file,
        detail: detail.to_owned(),
    }
}
