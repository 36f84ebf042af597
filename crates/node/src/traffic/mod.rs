//! The traffic side of the router process: its threads, what they share and how requests reach the
//! dispatcher.

mod activity_gate;
mod claim_decision;
mod claim_gate;
mod claim_hold;
mod claim_request;
mod connection_server;
mod context_insight;
mod dispatch_feed;
mod dispatch_handle;
mod live_traffic;
mod node_error;
mod observation_sink;
mod request_command;
mod request_session;
mod routing_view;
mod running_node;
mod stall_guard;
mod trace;
mod trace_ring;
mod traffic_context;
mod traffic_settings;
mod unavailable_claim_gate;
mod worker;

pub use activity_gate::{ActiveRequest, ActivityGate, GateClosed};
pub use claim_decision::ClaimDecision;
pub use claim_gate::ClaimGate;
pub(crate) use claim_hold::ClaimHold;
pub use claim_request::ClaimRequest;
pub(crate) use context_insight::ContextInsight;
pub use dispatch_feed::DispatchFeed;
pub use dispatch_handle::DispatchHandle;
pub(crate) use live_traffic::LiveTraffic;
pub use node_error::NodeError;
pub use observation_sink::ObservationSink;
pub(crate) use request_command::RequestCommand;
pub(crate) use request_session::RequestSession;
pub(crate) use routing_view::{ModelRoute, RoutingView};
pub use running_node::RunningNode;
pub use trace::{AttemptTrace, RequestTrace};
pub use trace_ring::TraceRing;
pub(crate) use traffic_context::TrafficContext;
pub use traffic_settings::TrafficSettings;
pub use unavailable_claim_gate::UnavailableClaimGate;
pub(crate) use worker::Worker;
