//! Hash of an API key.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// SHA-256 of an API key in lower-case hexadecimal. Keys themselves are never stored or logged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[serde(transparent)]
pub struct ApiKeyHash(pub String);
