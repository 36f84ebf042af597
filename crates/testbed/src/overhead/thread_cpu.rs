//! Processor time of threads by name.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

const TASKS: &str = "/proc/self/task";

/// Processor time so far of all threads of this process whose name starts with `prefix`.
///
/// # Errors
///
/// The kernel's files cannot be read.
pub fn thread_cpu(prefix: &str) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(TASKS)? {
        let directory = task?.path();
        // A thread may end while it is looked at.
        total += cpu_of(&directory, prefix).unwrap_or_default();
    }
    Ok(total)
}

fn cpu_of(directory: &Path, prefix: &str) -> Option<Duration> {
    let name = fs::read_to_string(directory.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    // The first number of schedstat is the time on a processor in nanoseconds.
    let text = fs::read_to_string(directory.join("schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
