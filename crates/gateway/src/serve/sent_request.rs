//! A request as it is sent to an engine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;

use crate::engines::InFlight;
use crate::permits::Permit;

/// What is kept of a request that is sent to an engine, until its answer has ended.
#[derive(Debug)]
pub(super) struct SentRequest {
    /// Counts the request at the engine.
    pub(super) in_flight: InFlight,
    /// When the engine was last heard from, on any connection; updated as the answer arrives.
    pub(super) heard_at: Rc<Cell<Option<Timestamp>>>,
    /// How long the engine was expected to take for prefill; `None` for requests without a prompt.
    pub(super) expected_prefill: Option<Duration>,
    /// Counts the request among those that all nodes have at the engine.
    pub(super) permit: Permit,
}
