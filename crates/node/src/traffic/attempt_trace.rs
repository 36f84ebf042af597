//! One attempt of a request.

use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::AttemptOutcome;
use ryerouter_core::identity::ZoneName;
use ryerouter_core::identity::{AttemptId, BackEndName, DataCentreName};

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct AttemptTrace {
    /// The attempt.
    pub attempt: AttemptId,
    /// The back end.
    pub back_end: BackEndName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// When it started.
    pub started_at: Timestamp,
    /// Prompt tokens that were expected in the back end's cache.
    pub expected_cached_tokens: u32,
    /// Prompt tokens that came from its cache, once told.
    pub cached_tokens: Option<u32>,
    /// Prompt tokens the back end counted, once told.
    pub prompt_tokens: Option<u32>,
    /// How it ended; absent when its caller left first.
    pub outcome: Option<AttemptOutcome>,
    /// What went wrong, where something did.
    pub detail: Option<String>,
}
