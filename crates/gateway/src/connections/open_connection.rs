//! One open connection.

use std::rc::Rc;

use super::OpenConnections;
use super::request_in_progress::RequestInProgress;
use super::usage::Usage;

/// One open connection; it counts until this is dropped.
pub struct OpenConnection {
    connections: Rc<OpenConnections>,
    id: u64,
    usage: Rc<Usage>,
}

impl OpenConnection {
    pub(super) fn new(connections: Rc<OpenConnections>, id: u64, usage: Rc<Usage>) -> Self {
        Self {
            connections,
            id,
            usage,
        }
    }

    pub(super) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// A request begins; it lasts until the value is dropped.
    pub(super) fn begin_request(&self) -> RequestInProgress {
        RequestInProgress::begin(&self.connections, &self.usage)
    }

    /// The system has taken all bytes that were written.
    pub(super) fn note_written(&self) {
        if self.usage.note_written(self.connections.now()) {
            self.connections.note_change();
        }
    }

    /// A request came before the connection was closed: another makes room.
    pub(super) fn stay_open(&self) {
        self.usage.stay_open(self.connections.now());
        self.connections.note_change();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.forget(self.id);
    }
}
