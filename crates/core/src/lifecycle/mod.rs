//! Lifecycle of a router process and of the back ends before which it stands.

mod leaving_register;
mod lifecycle_event;
mod node_lifecycle;
mod node_phase;

pub use leaving_register::LeavingRegister;
pub use lifecycle_event::LifecycleEvent;
pub use node_lifecycle::NodeLifecycle;
pub use node_phase::NodePhase;
