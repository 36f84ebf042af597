//! Streams to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ryerouter_core::control::{ControlEvent, PeerMessage};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::{PeerContext, StreamLimits, StreamLink};

/// Messages that may wait for one peer.
const QUEUE: usize = 256;
/// Links whose tasks may run at once; ended ones are forgotten when the number is reached.
const MAXIMUM_LINKS: usize = 2_048;

/// Streams to peers, opened when there is something to say and closed when there has been nothing
/// for a while.
pub struct StreamLinks {
    context: PeerContext,
    limits: StreamLimits,
    queues: BTreeMap<SocketAddr, mpsc::Sender<PeerMessage>>,
}

impl StreamLinks {
    pub(crate) fn new(context: PeerContext) -> Self {
        Self::with_limits(context, StreamLimits::default())
    }

    pub(super) fn with_limits(context: PeerContext, limits: StreamLimits) -> Self {
        Self {
            context,
            limits,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message for a peer. A message that finds no room, or that cannot be delivered
    /// later on, comes back as [`ControlEvent::StreamFailed`].
    pub fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let message = match self.queues.get(&to) {
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => return self.fail(to),
                Err(TrySendError::Closed(message)) => message,
            },
            None => message,
        };
        self.queues.remove(&to);
        if self.queues.len() >= MAXIMUM_LINKS {
            self.queues.retain(|_, queue| !queue.is_closed());
        }
        if self.queues.len() >= MAXIMUM_LINKS {
            return self.fail(to);
        }
        let queue = self.start_link(to);
        if queue.try_send(message).is_err() {
            return self.fail(to);
        }
        self.queues.insert(to, queue);
    }

    fn start_link(&self, to: SocketAddr) -> mpsc::Sender<PeerMessage> {
        let (sender, queue) = mpsc::channel(QUEUE);
        let link = StreamLink {
            to,
            queue,
            context: self.context.clone(),
            limits: self.limits,
        };
        tokio::spawn(link.run());
        sender
    }

    fn fail(&self, to: SocketAddr) {
        self.context.metrics.dropped.inc();
        let input = self.context.input.clone();
        tokio::spawn(async move { input.deliver(ControlEvent::StreamFailed { to }).await });
    }
}
