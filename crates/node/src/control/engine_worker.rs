//! Carries out calls to engines.

use std::net::SocketAddr;

use ryerouter_core::Timestamp;
use ryerouter_core::control::ControlEvent;
use ryerouter_core::identity::BackEndName;
use ryerouter_core::order::{FencedOrder, OrderAnswer};

use crate::clock::Clock;

use super::{ControlInput, EngineCaller};

/// Carries out calls to engines; each gets exactly one answer.
#[derive(Debug, Clone)]
pub(super) struct EngineWorker {
    caller: EngineCaller,
    input: ControlInput,
}

impl EngineWorker {
    pub(super) fn new(caller: EngineCaller, input: ControlInput) -> Self {
        Self { caller, input }
    }

    pub(super) fn poll(&self, back_end: BackEndName, address: SocketAddr) {
        let worker = self.clone();
        tokio::spawn(async move {
            let report = worker.caller.poll(address).await;
            let event = ControlEvent::EngineReported { back_end, report };
            worker.input.deliver(event).await;
        });
    }

    /// Gives an order unless the lease has lapsed: this process may have been paused since the
    /// order was decided.
    pub(super) fn order(
        &self,
        back_end: BackEndName,
        address: SocketAddr,
        order: FencedOrder,
        valid_until: Timestamp,
        clock: Clock,
    ) {
        let worker = self.clone();
        tokio::spawn(async move {
            let answer = if clock.now() < valid_until {
                worker.caller.order(address, &order).await
            } else {
                OrderAnswer::Refused
            };
            let event = ControlEvent::OrderAnswered { back_end, answer };
            worker.input.deliver(event).await;
        });
    }
}
