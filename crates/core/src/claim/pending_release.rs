//! A release that waits for acknowledgements.

use std::collections::BTreeSet;

use crate::identity::NodeName;
use crate::timestamp::Timestamp;

use super::ClaimRelease;

/// A release that waits for acknowledgements.
#[derive(Debug, Clone)]
pub(super) struct PendingRelease {
    pub release: ClaimRelease,
    pub unacknowledged: BTreeSet<NodeName>,
    pub sends_left: u32,
    pub next_send_at: Timestamp,
}
