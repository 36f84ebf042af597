//! One start of a hollow node.

/// One start of a hollow node; events for an earlier start are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    /// Index of the node.
    pub node: usize,
    /// Number of the start.
    pub start: u32,
}
