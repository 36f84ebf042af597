//! The turns in which nodes stand for the order lease while orders are stalled.

use std::time::Duration;

/// Orders that are needed are stalled when the lease was not renewed and no engine was reported to
/// load for this long. Taking over the lease of a node that died takes less.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between the turns of two nodes that follow one another.
const TURN_INTERVAL: Duration = Duration::from_secs(2);
/// Length of a turn: enough to read the lease, wait until it has certainly expired, and take it.
const TURN: Duration = Duration::from_secs(8);
/// Shortest time from one turn of a node to its next.
const MIN_CYCLE: Duration = Duration::from_secs(32);

/// The turns of a node among others.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderTurns {
    /// Number of nodes that come before this one; at least one.
    pub(super) rank: usize,
    /// Number of all nodes.
    pub(super) nodes: usize,
}

impl OrderTurns {
    /// When the turn in progress began, counted from when orders were last given; `None` between
    /// turns.
    pub(super) fn current(self, stalled_for: Duration) -> Option<Duration> {
        let first = STALL_TIMEOUT + TURN_INTERVAL * self.rank.saturating_sub(1) as u32;
        let since_first = stalled_for.checked_sub(first)?;
        let cycle = (TURN_INTERVAL * self.nodes as u32).max(MIN_CYCLE);
        let cycles = since_first.as_millis() / cycle.as_millis();
        let turn = first + cycle * cycles as u32;
        (stalled_for < turn + TURN).then_some(turn)
    }
}
