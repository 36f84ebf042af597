//! Where a request may go.

use super::EngineFilter;
use crate::engines::EngineEntry;
use crate::placement::UnhealthyEngines;

/// Where a request may go: to some engines, and when none of them serves to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The engines that it is for.
    pub first: EngineFilter,
    /// When none of those serves, these; without them the request gets no engine.
    pub fallback: Option<EngineFilter>,
    /// Whether it goes to engines that fail requests: a version that isn't known to be good needs none.
    pub unhealthy: UnhealthyEngines,
}

impl Admission {
    /// Whether an engine may get the request, first or after others.
    pub fn admits(&self, entry: &EngineEntry) -> bool {
        let fallback = self.fallback.as_ref();
        self.first.admits(entry) || fallback.is_some_and(|fallback| fallback.admits(entry))
    }

    /// To these engines or to none.
    pub fn to(first: EngineFilter) -> Self {
        Self {
            first,
            fallback: None,
            unhealthy: UnhealthyEngines::LastResort,
        }
    }

    /// To these engines, else to others.
    pub fn with_fallback(first: EngineFilter, fallback: EngineFilter) -> Self {
        Self {
            first,
            fallback: Some(fallback),
            unhealthy: UnhealthyEngines::LastResort,
        }
    }

    /// The same, but engines that fail requests are passed over.
    pub fn on_trial(first: EngineFilter, fallback: EngineFilter) -> Self {
        Self {
            unhealthy: UnhealthyEngines::Excluded,
            ..Self::with_fallback(first, fallback)
        }
    }
}
