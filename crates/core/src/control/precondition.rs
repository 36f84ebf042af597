//! Condition of a write.

use super::StoreVersion;

/// Condition under which a write to the object API takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(StoreVersion),
}
