//! A release as one node knows it.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::release::{Account, Grant, Ledger};

/// A release as one node knows it.
#[derive(Debug, Clone)]
pub struct KnownRelease {
    /// The newest grant.
    pub grant: Grant,
    /// When the director allowed it, at the latest.
    pub granted_at: Timestamp,
    /// What this node has sent since it heard of the release.
    pub account: Account,
    /// What this node and the others have seen.
    pub ledger: Ledger,
}

impl KnownRelease {
    /// A release that was just heard of.
    pub fn new(grant: Grant, granted_at: Timestamp) -> Self {
        Self {
            grant,
            granted_at,
            account: Account::default(),
            ledger: Ledger::default(),
        }
    }

    /// Whether the grant still holds: a final one does for good, another one for as long as a node may go
    /// without hearing of the director.
    pub fn is_granted(&self, life: Duration, now: Timestamp) -> bool {
        self.grant.stage.is_final() || now.since(self.granted_at) < life
    }
}
