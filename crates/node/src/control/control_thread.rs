//! A running control thread.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use tokio_util::sync::CancellationToken;

use super::ControlHandle;

/// A running control thread.
pub struct ControlThread {
    /// Access to the thread.
    pub(super) handle: ControlHandle,
    /// Where peers reach this node.
    pub(super) peer_address: SocketAddr,
    /// The thread.
    pub(super) thread: JoinHandle<()>,
    /// Ends the thread at once.
    pub(super) abort: CancellationToken,
}

impl ControlThread {
    /// Access to the thread.
    pub fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    /// Where peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Waits until the thread has ended, which it does after a planned stop, or once every handle
    /// is gone. Blocks.
    pub fn join(self) {
        drop(self.handle);
        let _ = self.thread.join();
    }

    /// Ends the thread at once, as a crash would. Blocks.
    pub fn kill(self) {
        self.abort.cancel();
        let _ = self.thread.join();
    }
}
