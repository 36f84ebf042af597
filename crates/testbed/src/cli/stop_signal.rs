//! The signals that end a command.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGINT and SIGTERM, noticed from its creation on.
#[derive(Debug)]
pub struct StopSignal {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignal {
    /// Notices the signals from now on.
    ///
    /// # Errors
    ///
    /// The system does not let the process handle them.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for one of them.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
