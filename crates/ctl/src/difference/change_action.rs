//! What happens to a resource.

use serde::Serialize;

/// What happens to a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// It is created.
    Create,
    /// It is updated.
    Update,
    /// It is deleted.
    Delete,
}

impl ChangeAction {
    /// The sign in front of the resource.
    pub fn sign(self) -> char {
        match self {
            Self::Create => '+',
            Self::Update => '~',
            Self::Delete => '-',
        }
    }
}
