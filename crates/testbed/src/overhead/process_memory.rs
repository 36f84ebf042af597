//! Memory of this process.

use std::fs;
use std::io;

const STATUS: &str = "/proc/self/status";
const BYTES_PER_KIB: u64 = 1_024;

/// Resident memory of this process in bytes.
///
/// # Errors
///
/// The kernel's file cannot be read.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string(STATUS)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    let kib = kib.ok_or_else(|| io::Error::other("no VmRSS in /proc/self/status"))?;
    Ok(kib * BYTES_PER_KIB)
}
