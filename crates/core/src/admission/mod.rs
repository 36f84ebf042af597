//! When a request may start: concurrency windows that protect engines from overload, and the
//! bounded queue of waiting requests with its order.

mod engine_window;
mod fair_queue;
mod queue_limits;
mod queued_request;
mod request_queue;
mod service_rate;
pub mod shedding;

pub use engine_window::EngineWindow;
pub use fair_queue::FairQueue;
pub use queue_limits::QueueLimits;
pub use queued_request::QueuedRequest;
pub use request_queue::RequestQueue;
pub use service_rate::ServiceRate;
