//! Limits how often requests are retried.

mod retry_settings;
mod retry_window;

pub use retry_settings::RetrySettings;
pub use retry_window::RetryWindow;
