//! Times that bound how long a stream to a peer is believed.

use std::time::Duration;

/// Times that bound how long a stream to a peer is believed.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamLimits {
    /// Time after which a stream is ended, so that its peer confirms what was written to it.
    pub(super) confirm_after: Duration,
    /// Longest wait for the peer to end its side.
    pub(super) confirm_timeout: Duration,
}

impl Default for StreamLimits {
    /// Configuration has to be in force within 20 s (`docs/CAPACITY.md`): what a stream has lost is
    /// known to the next one after half of that, and the loss is told by the end of it.
    fn default() -> Self {
        Self {
            confirm_after: Duration::from_secs(10),
            confirm_timeout: Duration::from_secs(10),
        }
    }
}
