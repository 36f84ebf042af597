//! One start of a router process.

/// One start of a router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// Index of the process.
    pub node: usize,
    /// Which start of it, from 1.
    pub start: u64,
}
