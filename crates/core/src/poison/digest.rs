//! What stands for a request and its repeats.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Stands for a request and all its repeats: a keyed hash of its path, caller and body, so that nodes can tell
/// each other of it without its content.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

/// A text that is no digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("'{text}' is not a digest of 32 hexadecimal digits")]
pub struct InvalidDigest {
    /// The text.
    pub text: String,
}

impl TryFrom<String> for Digest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match u128::from_str_radix(&text, 16) {
            Ok(hash) if text.len() == 32 => Ok(Self(hash)),
            _ => Err(InvalidDigest { text }),
        }
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
