//! When a failed attempt may be retried, and which engines are ejected for a while.

mod engine_health;
mod health_event;
mod retry_budget;

pub use engine_health::EngineHealth;
pub use retry_budget::RetryBudget;
