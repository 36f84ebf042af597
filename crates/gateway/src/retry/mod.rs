//! How often requests may be sent again.

mod retry_settings;
mod retry_window;

pub use retry_settings::RetrySettings;
pub use retry_window::RetryWindow;
