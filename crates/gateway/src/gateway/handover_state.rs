//! What a gateway knows of handovers of the order lease.

use std::net::SocketAddr;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::NodeName;

use super::Handover;
use crate::peers::{ReachAnswer, ReachQuestion};

/// An answer is sent for so long, in several messages, since datagrams may be lost.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// What a gateway knows of handovers of the order lease.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// The question that this node asks as the holder of the lease.
    pub question: Option<ReachQuestion>,
    /// A question to this node that has not been answered, and where to send the answer.
    pub received: Option<(ReachQuestion, SocketAddr)>,
    /// Fencing number and round of the last question to this node.
    pub last_received: Option<(u64, u64)>,
    /// The last answer of this node, to whom it goes, and since when.
    pub answer: Option<(ReachAnswer, SocketAddr, Timestamp)>,
    /// The newest handover.
    pub handover: Option<Handover>,
}

impl HandoverState {
    /// The answer while it is sent, and its receiver.
    pub fn current_answer(&self, now: Timestamp) -> Option<(&ReachAnswer, SocketAddr)> {
        let (answer, address, since) = self.answer.as_ref()?;
        (now.since(*since) < ANSWER_TTL).then_some((answer, *address))
    }

    /// The newest handover, while it decides which node takes the lease.
    pub fn valid(&self, now: Timestamp) -> Option<&Handover> {
        let handover = self.handover.as_ref();
        handover.filter(|handover| handover.is_valid(now))
    }

    /// The same if `node` gave the lease up.
    pub fn valid_by(&self, node: &NodeName, now: Timestamp) -> Option<&Handover> {
        let valid = self.valid(now);
        valid.filter(|handover| handover.former_holder == *node)
    }
}
