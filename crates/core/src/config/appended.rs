//! What became of a log entry.

/// What became of a log entry given to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// It is in force now.
    Applied,
    /// The replica is at its version or beyond.
    Old,
    /// Entries before it are missing.
    Gap,
}
