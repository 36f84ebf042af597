//! Answer to an accepted change.

use crate::identity::ConfigVersion;

/// A change is written in the log, or in a dry run would have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeAccepted {
    /// Version at which it is (or would be) in force; also the resource version of all it wrote.
    pub version: ConfigVersion,
    /// Whether it was only checked.
    pub dry_run: bool,
    /// Whether an earlier call with the same change id had written it.
    pub repeated: bool,
}
