//! The place of a body among those that wait.

/// The place of a body among those that wait for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn(pub(super) u64);
