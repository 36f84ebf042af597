//! How a plain policy picks a back end.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{EngineObservation, RequestProfile};
use ryerouter_core::identity::AttemptId;

use super::simulated_engine::SimulatedEngine;
use crate::workload::SessionId;

/// A request for which a back end is picked.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceRequest<'a> {
    /// The router process that picks.
    pub node: usize,
    /// The caller.
    pub session: SessionId,
    /// The request.
    pub profile: &'a RequestProfile,
}

/// Picks back ends for all router processes and learns what becomes of attempts.
pub(super) trait EngineChoice {
    /// Picks one of `candidates`, which is not empty.
    fn choose(
        &mut self,
        request: ChoiceRequest<'_>,
        candidates: &[usize],
        now: Timestamp,
        engines: &[SimulatedEngine],
    ) -> usize;

    /// An attempt was sent.
    fn started(
        &mut self,
        _request: ChoiceRequest<'_>,
        _attempt: AttemptId,
        _back_end: usize,
        _engines: &[SimulatedEngine],
    ) {
    }

    /// The first token of an attempt arrived.
    fn first_token(&mut self, _attempt: AttemptId, _back_end: usize) {}

    /// An attempt ended.
    fn ended(&mut self, _node: usize, _attempt: AttemptId, _back_end: usize) {}

    /// A load report arrived.
    fn reported(&mut self, _node: usize, _back_end: usize, _observation: &EngineObservation) {}
}
