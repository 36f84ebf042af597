//! This node's part in holding tenants' limits.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identity::NodeName;
use crate::limit::{
    LimitAllocator, LimitAllocatorEvent, LimitEnvelope, LimitMessage, LimitSettings,
};
use crate::timestamp::Timestamp;

use super::{Cluster, ControlAction, ControlSettings, Outbox, PeerMessage};

/// This node's part in holding tenants' limits: it is a bank where the roster names it, and passes
/// messages between banks and the borrower among its traffic threads.
#[derive(Debug)]
pub struct Limits {
    name: NodeName,
    bank: LimitAllocator,
}

impl Limits {
    /// State of a process that starts.
    pub fn new(settings: &ControlSettings) -> Self {
        Self {
            name: settings.name.clone(),
            bank: LimitAllocator::new(settings.name.clone(), LimitSettings::default()),
        }
    }

    /// Takes the configuration in force.
    pub fn follow_catalog(
        &mut self,
        catalog: &Arc<Catalog>,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let event = LimitAllocatorEvent::CatalogChanged(Arc::clone(catalog));
        let mut sends = Vec::new();
        self.bank.handle(event, now, &mut sends);
        self.deliver(sends, cluster, now, outbox);
    }

    /// Takes a message that the borrower of this node sends.
    pub fn send(
        &mut self,
        send: LimitEnvelope,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        self.deliver(vec![send], cluster, now, outbox);
    }

    /// Takes a peer's message.
    pub fn receive(
        &mut self,
        from: NodeName,
        message: LimitMessage,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let mut sends = Vec::new();
        self.take_message(from, message, now, &mut sends, outbox);
        self.deliver(sends, cluster, now, outbox);
    }

    fn take_message(
        &mut self,
        from: NodeName,
        message: LimitMessage,
        now: Timestamp,
        sends: &mut Vec<LimitEnvelope>,
        outbox: &mut Outbox,
    ) {
        if let LimitMessage::Grant(grant) = message {
            outbox.push(ControlAction::LimitGranted { from, grant });
            return;
        }
        let event = LimitAllocatorEvent::Received { from, message };
        self.bank.handle(event, now, sends);
    }

    /// Sends messages; those to this node itself are taken at once, as a bank may be its own
    /// borrower. A message that is lost is asked for again by its borrower.
    fn deliver(
        &mut self,
        sends: Vec<LimitEnvelope>,
        cluster: &Cluster,
        now: Timestamp,
        outbox: &mut Outbox,
    ) {
        let mut waiting = VecDeque::from(sends);
        while let Some(send) = waiting.pop_front() {
            if send.to == self.name {
                let mut answers = Vec::new();
                self.take_message(send.to, send.message, now, &mut answers, outbox);
                waiting.extend(answers);
            } else if let Some(address) = cluster.address_of(&send.to) {
                let message = PeerMessage::Limit {
                    from: self.name.clone(),
                    message: send.message,
                };
                outbox.stream(address, message);
            }
        }
    }
}
