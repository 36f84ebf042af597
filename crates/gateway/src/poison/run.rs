//! A run of a request on an engine.

use ryerouter_core::Timestamp;
use ryerouter_core::poison::Digest;

use crate::placement::Placement;
use crate::serve::AcceptedRequest;

/// A run of a request on an engine. It is kept after the request has been sent elsewhere, so that a later crash of the
/// engine can be attributed to the request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Digest of the request.
    pub digest: Digest,
    /// Digests of the shared parts of its prompt.
    pub parts: Vec<Digest>,
    /// Name of its route.
    pub route: String,
    /// The engine, in the incarnation for which it was chosen.
    pub placement: Placement,
    /// When the request was sent.
    pub began: Timestamp,
}

impl Run {
    /// Creates a run that began at `began`.
    pub fn new(request: &AcceptedRequest, placement: &Placement, began: Timestamp) -> Self {
        Self {
            request: request.caller.id.clone(),
            digest: request.digest(),
            parts: request.part_digests().to_vec(),
            route: request.route.name.clone(),
            placement: placement.clone(),
            began,
        }
    }
}
