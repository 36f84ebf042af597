//! Requests that wait in an engine.

use std::collections::VecDeque;

use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::AttemptId;

use super::promotion::Promotion;
use super::waiting_request::WaitingRequest;

/// Requests that wait in an engine: interactive ones first, each kind in order of arrival; batch
/// work that waited long counts as interactive.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingQueue {
    interactive: VecDeque<WaitingRequest>,
    batch: VecDeque<WaitingRequest>,
}

impl WaitingQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Adds a request behind those of its kind.
    pub fn push(&mut self, waiting: WaitingRequest) {
        match waiting.request.priority {
            Priority::Interactive => self.interactive.push_back(waiting),
            Priority::Batch => self.batch.push_back(waiting),
        }
    }

    /// The request whose turn it is. Batch work that is urgent by now competes with interactive
    /// work by time of arrival.
    pub fn first(&self, promotion: Promotion) -> Option<&WaitingRequest> {
        if self.batch_goes_first(promotion) {
            self.batch.front()
        } else {
            self.interactive.front()
        }
    }

    /// Takes the request whose turn it is.
    pub fn take_first(&mut self, promotion: Promotion) -> Option<WaitingRequest> {
        if self.batch_goes_first(promotion) {
            self.batch.pop_front()
        } else {
            self.interactive.pop_front()
        }
    }

    /// Takes one request out, if it waits here.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<WaitingRequest> {
        remove_from(&mut self.interactive, attempt)
            .or_else(|| remove_from(&mut self.batch, attempt))
    }

    /// Takes all requests out, interactive ones first.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        self.interactive
            .drain(..)
            .chain(self.batch.drain(..))
            .collect()
    }

    /// All requests, interactive ones first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.interactive.iter().chain(self.batch.iter())
    }

    fn batch_goes_first(&self, promotion: Promotion) -> bool {
        match (self.interactive.front(), self.batch.front()) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(interactive), Some(batch)) => {
                batch.is_urgent(promotion) && batch.arrived_at < interactive.arrived_at
            }
        }
    }
}

fn remove_from(queue: &mut VecDeque<WaitingRequest>, attempt: AttemptId) -> Option<WaitingRequest> {
    let index = queue
        .iter()
        .position(|waiting| waiting.request.attempt == attempt)?;
    queue.remove(index)
}
