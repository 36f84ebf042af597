//! Number of a call to the object API.

use derive_more::Display;

/// Number of a call to the object API, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct StoreRequestId(pub u64);
