//! Addresses of nodes that were silent for so long that they were forgotten.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// Time between two tries. Most forgotten nodes have stopped for good.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Where many nodes were cut off, reaching one of them is enough, since it tells of the others.
const MAX_ADDRESSES: usize = 64;

/// Addresses of nodes that were silent for so long that they were forgotten, in order of the next try.
///
/// Nodes that were cut from each other forget each other, and a node sends messages only to those that
/// it knows. Unless one of them goes on trying, they stay apart when the link is back.
#[derive(Debug, Default)]
pub(super) struct ForgottenAddresses {
    addresses: VecDeque<SocketAddr>,
    tried_at: Option<Timestamp>,
}

impl ForgottenAddresses {
    /// Adds the address of a node that is forgotten; the one that was tried last makes room for it.
    pub(super) fn add(&mut self, address: SocketAddr) {
        self.remove(address);
        self.addresses.truncate(MAX_ADDRESSES - 1);
        self.addresses.push_front(address);
    }

    /// Removes an address from which a node was heard.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
    }

    /// The address to try now, if one is due.
    pub(super) fn next(&mut self, now: Timestamp) -> Option<SocketAddr> {
        let is_due = |tried_at: Timestamp| now.since(tried_at) >= RETRY_INTERVAL;
        if !self.tried_at.is_none_or(is_due) {
            return None;
        }
        let address = self.addresses.pop_front()?;
        self.addresses.push_back(address);
        self.tried_at = Some(now);
        Some(address)
    }
}
