//! A request of a scenario.

use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::identity::{RequestId, TenantName};

use super::{ModelPrompt, SessionId};

/// A request of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct GeneratedRequest {
    /// Its id.
    pub request: RequestId,
    /// When its caller sends it, from the start of the run.
    pub sent_at: Timestamp,
    /// Number of its class in the scenario.
    pub class: usize,
    /// The tenant that asks.
    pub tenant: TenantName,
    /// The caller.
    pub session: SessionId,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// How long its caller waits for the first token; `None` for plain requests.
    pub patience: Option<Duration>,
    /// What it asks for.
    pub work: GeneratedWork,
}

/// What a generated request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum GeneratedWork {
    /// An answer of the model.
    Model(Box<ModelPrompt>),
    /// A call of the plain service pool.
    Service,
}
