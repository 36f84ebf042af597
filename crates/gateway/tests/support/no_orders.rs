//! Engines whose weights are never ordered.

use std::net::SocketAddr;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::{BackEndName, FencingNumber};
use ryerouter_gateway::rollout::{EngineOrders, EngineReport, OrderOutcome, WeightsOrder};

/// Engines whose weights are never ordered.
pub struct NoOrders;

impl EngineOrders for NoOrders {
    fn order(
        &self,
        _address: SocketAddr,
        _order: WeightsOrder,
        _fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome> {
        async { OrderOutcome::Rejected }.boxed_local()
    }

    fn report(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>> {
        async { None }.boxed_local()
    }
}
