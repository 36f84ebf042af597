//! Error of a text that is no object key.

use derive_more::{Display, Error};

/// A text is no key that ryerouter keeps.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("object key {key:?} is not one that ryerouter keeps")]
pub struct ObjectKeyError {
    /// The text.
    pub key: String,
}
