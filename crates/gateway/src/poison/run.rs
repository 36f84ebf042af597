//! A run that may end its engine.

use ryerouter_core::Timestamp;
use ryerouter_core::poison::Digest;

use crate::placement::Placement;
use crate::serve::AcceptedRequest;

/// A run of a request at an engine, for what becomes of the engine after the request has gone elsewhere.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// What stands for it and its repeats.
    pub digest: Digest,
    /// Its route.
    pub route: String,
    /// The engine, in the life in which it was chosen.
    pub placement: Placement,
    /// When it was sent.
    pub began: Timestamp,
}

impl Run {
    /// A run that began then.
    pub fn new(request: &AcceptedRequest, placement: &Placement, began: Timestamp) -> Self {
        Self {
            request: request.caller.id.clone(),
            digest: request.digest(),
            route: request.route.name.clone(),
            placement: placement.clone(),
            began,
        }
    }
}
