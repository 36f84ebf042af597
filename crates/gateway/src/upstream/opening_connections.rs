//! Connections that are being opened.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use ryerouter_core::Timestamp;
use ryerouter_core::identity::BackEndName;

/// Connections that are being opened.
#[derive(Debug, Default)]
pub(super) struct OpeningConnections {
    next: Cell<u64>,
    connections: RefCell<BTreeMap<u64, (BackEndName, Timestamp)>>,
}

/// A connection that is being opened, until dropped.
pub(super) struct OpeningConnection<'a> {
    all: &'a OpeningConnections,
    number: u64,
}

impl OpeningConnections {
    /// Counts a connection as being opened until the value returned is dropped.
    pub(super) fn begin(&self, engine: &BackEndName, now: Timestamp) -> OpeningConnection<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, (engine.clone(), now));
        OpeningConnection { all: self, number }
    }

    /// Number of engines to which a connection has been opening since `since` or longer.
    pub(super) fn engines_before(&self, since: Timestamp) -> usize {
        let connections = self.connections.borrow();
        let late = connections
            .values()
            .filter(|(_, began_at)| *began_at <= since);
        late.map(|(engine, _)| engine)
            .collect::<BTreeSet<_>>()
            .len()
    }
}

impl Drop for OpeningConnection<'_> {
    fn drop(&mut self) {
        self.all.connections.borrow_mut().remove(&self.number);
    }
}
