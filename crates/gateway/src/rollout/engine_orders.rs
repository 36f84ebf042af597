//! The port to engines' orders and reports.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::{BackEndName, FencingNumber};

use super::{EngineReport, OrderOutcome, WeightsOrder};

/// Gives orders to engines and asks for their reports.
pub trait EngineOrders {
    /// Gives an order in the name of the lease's holder.
    fn order(
        &self,
        address: SocketAddr,
        order: WeightsOrder,
        fence: FencingNumber,
    ) -> LocalBoxFuture<'_, OrderOutcome>;

    /// Asks for a report; `None` when there is none.
    fn report(
        &self,
        engine: BackEndName,
        address: SocketAddr,
    ) -> LocalBoxFuture<'_, Option<EngineReport>>;
}
