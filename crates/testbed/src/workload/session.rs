//! Who asks.

use derive_more::Display;

/// A caller that asks several times: a worker on one job, a picker, a driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct SessionId(pub u64);
