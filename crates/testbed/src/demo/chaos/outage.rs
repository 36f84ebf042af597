//! Time in which a router node was away.

use std::time::Duration;

use tokio::time::Instant;

/// How a router node went away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    /// It was killed.
    Kill,
    /// It was stopped as planned.
    Stop,
}

/// Time in which a router node was away.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// Number of the node.
    pub router: usize,
    /// How it went away.
    pub kind: OutageKind,
    /// When it was killed or asked to stop.
    pub from: Instant,
    /// When it served again.
    pub until: Instant,
    /// From its start to when it served.
    pub start_time: Duration,
}

impl Outage {
    /// Whether it explains that a call to the node, under way between the two times, was cut.
    pub fn explains_cut(&self, router: usize, sent: Instant, ended: Instant) -> bool {
        self.kind == OutageKind::Kill
            && self.router == router
            && sent <= self.until
            && ended >= self.from
    }

    /// Whether it explains that a call at this time could not connect.
    pub fn explains_no_connection(&self, router: usize, sent: Instant, ended: Instant) -> bool {
        self.router == router && sent <= self.until && ended >= self.from
    }
}
