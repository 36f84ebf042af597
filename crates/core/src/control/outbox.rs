//! Collects what a control decision wants done.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{ControlAction, PeerMessage, StoreCall, StoreOwner, StoreRequestId};

/// Collects actions of the machines inside a control state and remembers which of them asked the
/// object API what.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<ControlAction>,
    owners: BTreeMap<StoreRequestId, StoreOwner>,
    last_request: u64,
}

impl Outbox {
    /// Adds any action.
    pub fn push(&mut self, action: ControlAction) {
        self.actions.push(action);
    }

    /// Sends a datagram.
    pub fn datagram(&mut self, to: SocketAddr, message: PeerMessage) {
        self.push(ControlAction::SendDatagram { to, message });
    }

    /// Sends over a stream.
    pub fn stream(&mut self, to: SocketAddr, message: PeerMessage) {
        self.push(ControlAction::SendStream { to, message });
    }

    /// Calls the object API for `owner`.
    pub fn store(&mut self, owner: StoreOwner, call: StoreCall) -> StoreRequestId {
        self.last_request += 1;
        let id = StoreRequestId(self.last_request);
        self.owners.insert(id, owner);
        self.push(ControlAction::StoreRequest { id, call });
        id
    }

    /// Who asked `id`; asked once, because each call is answered once.
    pub fn take_owner(&mut self, id: StoreRequestId) -> Option<StoreOwner> {
        self.owners.remove(&id)
    }

    /// Moves all collected actions to `actions`. Answers to changes that the control state itself
    /// wants are for nobody.
    pub fn drain_into(&mut self, actions: &mut Vec<ControlAction>) {
        let wanted = |action: &ControlAction| match action {
            ControlAction::AnswerOperator { operation, .. } => !operation.is_own(),
            _ => true,
        };
        actions.extend(self.actions.drain(..).filter(wanted));
    }
}
