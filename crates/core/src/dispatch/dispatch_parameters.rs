//! Parameters of the dispatcher.

use std::time::Duration;

/// Parameters of the dispatcher, with defaults that fit both a handful and thousands of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchParameters {
    /// Most attempts for one request, resumed streams included.
    pub max_attempts: u32,
    /// When a caller may come back after a refusal for want of a back end.
    pub no_back_end_retry_after: Duration,
}

impl Default for DispatchParameters {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            no_back_end_retry_after: Duration::from_secs(1),
        }
    }
}
