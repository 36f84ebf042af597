//! A request in progress on a connection.

use std::rc::Rc;

use super::OpenConnections;
use super::usage::Usage;

/// A request in progress on a connection, until dropped.
pub(super) struct RequestInProgress {
    usage: Rc<Usage>,
}

impl RequestInProgress {
    pub(super) fn begin(connections: &Rc<OpenConnections>, usage: &Rc<Usage>) -> Self {
        usage.begin_request(|| connections.gateway().count_unwritten_answer());
        Self {
            usage: Rc::clone(usage),
        }
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.usage.end_request();
    }
}
