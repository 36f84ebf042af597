//! The dispatcher as the traffic threads share it.

use std::collections::HashMap;

use parking_lot::Mutex;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::{DispatchAction, DispatchEvent, Dispatcher, RequestProfile};
use ryerouter_core::identity::{
    AttemptId, DataCentreName, NodeName, RequestId, StageName, ZoneName,
};
use ryerouter_core::limit::{LimitEnvelope, LimitSettings};
use ryerouter_core::migration::StageMeasurement;
use tokio::sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::Clock;

use super::RequestCommand;

/// The dispatcher and the way from its actions to the tasks of requests.
///
/// Actions are handed to the tasks under the same lock that produced them, so each task sees its
/// actions in order. A stream takes the lock a handful of times in its life, never per chunk.
#[derive(Debug)]
pub struct DispatchHandle {
    state: Mutex<DispatchState>,
    clock: Clock,
}

#[derive(Debug)]
struct DispatchState {
    dispatcher: Dispatcher,
    mailboxes: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    attempts: HashMap<AttemptId, RequestId>,
    actions: Vec<DispatchAction>,
    limit_sends: Option<Sender<LimitEnvelope>>,
}

impl DispatchHandle {
    /// A handle to a new dispatcher of a process in `zone` of `data_centre`.
    pub fn new(data_centre: DataCentreName, zone: ZoneName, seed: u64, clock: Clock) -> Self {
        let state = DispatchState {
            dispatcher: Dispatcher::new(data_centre, zone, seed),
            mailboxes: HashMap::new(),
            attempts: HashMap::new(),
            actions: Vec::new(),
            limit_sends: None,
        };
        Self {
            state: Mutex::new(state),
            clock,
        }
    }

    /// Enforces limits of tenants from now on. Messages to the banks of the limits go to `sends`;
    /// their answers come back as [`DispatchEvent::LimitGranted`].
    pub fn limit_tenants(&self, node: NodeName, sends: Sender<LimitEnvelope>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.limit_sends = Some(sends);
        state
            .dispatcher
            .limit_tenants(node, now, LimitSettings::default());
    }

    /// Takes what was measured of a migration stage since the last time.
    pub fn take_measurement(&self, stage: &StageName) -> Option<StageMeasurement> {
        self.state.lock().dispatcher.take_measurement(stage)
    }

    /// The present time by the process's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Takes an event and hands the actions it causes to the tasks of their requests.
    pub fn handle(&self, event: DispatchEvent) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.handle(event, now);
    }

    /// Submits a request and returns where its commands arrive, and the id it goes by.
    ///
    /// Callers choose request ids, so two requests in progress may ask for the same one: the later
    /// one gets a suffix. Otherwise one would receive the other's commands.
    pub(crate) fn submit(
        &self,
        mut profile: Box<RequestProfile>,
    ) -> (RequestId, UnboundedReceiver<RequestCommand>) {
        let (sender, receiver) = unbounded_channel();
        let now = self.clock.now();
        let mut state = self.state.lock();
        let request = state.free_request_id(&profile.request);
        profile.request = request.clone();
        state.mailboxes.insert(request.clone(), sender);
        state.handle(DispatchEvent::Submitted(profile), now);
        (request, receiver)
    }

    /// Forgets a request whose task has ended.
    pub(crate) fn forget(&self, request: &RequestId) {
        let mut state = self.state.lock();
        state.mailboxes.remove(request);
    }
}

impl DispatchState {
    fn free_request_id(&self, wanted: &RequestId) -> RequestId {
        if !self.mailboxes.contains_key(wanted) {
            return wanted.clone();
        }
        let numbered = |number: u64| RequestId::new(format!("{wanted}#{number}"));
        (2..)
            .map(numbered)
            .find(|id| !self.mailboxes.contains_key(id))
            .expect("fewer requests than numbers")
    }

    fn handle(&mut self, event: DispatchEvent, now: Timestamp) {
        if let DispatchEvent::AttemptEnded { attempt, .. } = &event {
            self.attempts.remove(attempt);
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.handle(event, now, &mut actions);
        for action in actions.drain(..) {
            self.deliver(action);
        }
        // The emptied buffer is kept for the next event.
        self.actions = actions;
    }

    fn deliver(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Start {
                request,
                assignment,
            } => {
                self.attempts.insert(assignment.attempt, request.clone());
                self.post(&request, RequestCommand::Start(assignment));
            }
            DispatchAction::Cancel { attempt } => {
                if let Some(request) = self.attempts.remove(&attempt) {
                    self.post(&request, RequestCommand::Cancel(attempt));
                }
            }
            DispatchAction::SendLimit(send) => {
                // A lost ask is asked again; the control thread may be too busy for this one.
                if let Some(sends) = &self.limit_sends {
                    let _ = sends.try_send(send);
                }
            }
            DispatchAction::Finish { request, outcome } => {
                self.post(&request, RequestCommand::Finish(outcome));
            }
        }
    }

    /// A request whose task is gone has no mailbox; its commands have no one left to serve.
    fn post(&self, request: &RequestId, command: RequestCommand) {
        if let Some(mailbox) = self.mailboxes.get(request) {
            let _ = mailbox.send(command);
        }
    }
}
