//! Digest that identifies a request and its retries.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Keyed hash of a request's path, caller and body. It identifies the request and all its retries, so that nodes can
/// exchange information about a request without its content.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("'{text}' is not a digest of 32 hexadecimal digits")]
pub struct InvalidDigest {
    /// The rejected text.
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
