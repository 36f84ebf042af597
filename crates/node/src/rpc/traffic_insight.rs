//! What operators may learn of traffic.

use ryerouter_core::identity::RequestId;
use ryerouter_wire::generated::v1;

/// What operators may learn of the traffic of this node.
pub trait TrafficInsight: Send + Sync + 'static {
    /// Why a recent request went where it went; `None` when it is not remembered any more.
    fn explain(&self, request: &RequestId) -> Option<v1::ExplainResponse>;

    /// Rates and percentiles over the last window.
    fn overview(&self) -> v1::OverviewResponse;
}

/// Insight of a node without a traffic side.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoTraffic;

impl TrafficInsight for NoTraffic {
    fn explain(&self, _request: &RequestId) -> Option<v1::ExplainResponse> {
        None
    }

    fn overview(&self) -> v1::OverviewResponse {
        v1::OverviewResponse::default()
    }
}
