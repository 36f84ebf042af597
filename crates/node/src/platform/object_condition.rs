//! Condition of a write.

/// What must hold of an object for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectCondition {
    /// It does not exist yet.
    Absent,
    /// It has this version.
    Version(u64),
}
