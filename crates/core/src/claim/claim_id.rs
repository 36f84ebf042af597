//! Identifier of a claim.

use std::num::ParseIntError;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies one claim on a key; a pseudo-random number from the claiming process.
///
/// Serialised as hexadecimal text, because JSON parsers may lose the low bits of large numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(into = "String", try_from = "String")]
pub struct ClaimId(pub u64);

impl From<ClaimId> for String {
    fn from(claim: ClaimId) -> Self {
        claim.to_string()
    }
}

impl TryFrom<String> for ClaimId {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Self)
    }
}
