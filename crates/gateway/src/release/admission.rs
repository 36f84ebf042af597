//! The engines that a request may be sent to, first and as a fallback.

use std::collections::BTreeSet;

use ryerouter_core::release::SoftwareVersion;

use super::EngineFilter;
use crate::engines::EngineEntry;
use crate::placement::UnhealthyEngines;

/// The engines that a request may be sent to, and the engines to use if none of those is available.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The engines to use first.
    pub first: EngineFilter,
    /// The engines to use if none of the first ones is available; if `None`, the request then gets no engine.
    pub fallback: Option<EngineFilter>,
    /// Whether the request may be sent to engines that fail requests. Such engines are excluded while a version is
    /// under trial, because the version is not known to be good.
    pub unhealthy: UnhealthyEngines,
}

impl Admission {
    /// Whether an engine may get the request, at first or as a fallback.
    pub fn admits(&self, entry: &EngineEntry) -> bool {
        let fallback = self.fallback.as_ref();
        self.first.admits(entry) || fallback.is_some_and(|fallback| fallback.admits(entry))
    }

    /// Admits the request to `first` only.
    pub fn to(first: EngineFilter) -> Self {
        Self {
            first,
            fallback: None,
            unhealthy: UnhealthyEngines::LastResort,
        }
    }

    /// Admits the request to `first`, or to `fallback` if no engine of `first` is available.
    pub fn with_fallback(first: EngineFilter, fallback: EngineFilter) -> Self {
        Self {
            first,
            fallback: Some(fallback),
            unhealthy: UnhealthyEngines::LastResort,
        }
    }

    /// Admits the request to the same engines except those of `versions`; `engines` are all of the pool.
    pub fn without(self, versions: &BTreeSet<SoftwareVersion>, engines: &[&EngineEntry]) -> Self {
        let fallback = self.fallback;
        Self {
            first: self.first.without(versions, engines),
            fallback: fallback.map(|fallback| fallback.without(versions, engines)),
            unhealthy: self.unhealthy,
        }
    }

    /// Like [`Self::with_fallback`], but excludes engines that fail requests.
    pub fn on_trial(first: EngineFilter, fallback: EngineFilter) -> Self {
        Self {
            unhealthy: UnhealthyEngines::Excluded,
            ..Self::with_fallback(first, fallback)
        }
    }
}
