//! When a failed attempt may be made again, and which engines are left alone for a while.

mod engine_health;
mod health_event;
mod retry_budget;

pub use engine_health::EngineHealth;
pub use retry_budget::RetryBudget;
