//! A request in progress on a connection.

use std::rc::Rc;

use super::OpenConnections;
use super::connection_use::ConnectionUse;

/// A request in progress on a connection, until dropped.
pub(super) struct RequestInProgress {
    connections: Rc<OpenConnections>,
    usage: Rc<ConnectionUse>,
}

impl RequestInProgress {
    pub(super) fn begin(connections: &Rc<OpenConnections>, usage: &Rc<ConnectionUse>) -> Self {
        usage.begin_request();
        Self {
            connections: Rc::clone(connections),
            usage: Rc::clone(usage),
        }
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.usage.end_request(self.connections.now());
        self.connections.note_change();
    }
}
