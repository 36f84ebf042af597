//! When a request may start: windows that keep engines from being overfilled, the bounded queue
//! of those that must wait, and its order.

mod engine_window;
mod fair_queue;
mod queue_limits;
mod queued_request;
mod request_queue;
mod service_rate;

pub use engine_window::EngineWindow;
pub use fair_queue::FairQueue;
pub use queue_limits::QueueLimits;
pub use queued_request::QueuedRequest;
pub use request_queue::RequestQueue;
pub use service_rate::ServiceRate;
