//! Which node is asked for the next piece of a list.

/// Which node is asked for the next piece of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderPreference {
    /// The parent.
    Parent,
    /// A node of the own zone that serves.
    Near,
    /// Any node that serves.
    Any,
}
