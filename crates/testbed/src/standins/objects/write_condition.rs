//! What must hold for a write to take effect.

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// Nothing.
    Always,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}
