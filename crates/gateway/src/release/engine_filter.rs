//! Selects the engines of a pool that may get a request.

use std::collections::BTreeSet;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::SoftwareVersion;

use crate::engines::EngineEntry;

/// Selects the engines of a pool that may get a request, as far as releases are concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineFilter {
    /// All engines.
    Any,
    /// Only these engines.
    Only(BTreeSet<BackEndName>),
    /// All engines of this version.
    Version(SoftwareVersion),
    /// All engines except those of these versions.
    Except(BTreeSet<SoftwareVersion>),
}

impl EngineFilter {
    /// Selects all engines except those of `versions`.
    pub fn except(versions: BTreeSet<SoftwareVersion>) -> Self {
        match versions.is_empty() {
            true => Self::Any,
            false => Self::Except(versions),
        }
    }

    /// Selects the same engines except those of `versions`; `engines` are all of the pool.
    pub fn without(self, versions: &BTreeSet<SoftwareVersion>, engines: &[&EngineEntry]) -> Self {
        match self {
            Self::Any => Self::except(versions.clone()),
            Self::Except(excluded) => Self::Except(excluded.union(versions).cloned().collect()),
            Self::Version(version) if versions.contains(&version) => Self::Only(BTreeSet::new()),
            Self::Version(version) => Self::Version(version),
            Self::Only(mut names) => {
                let excluded = engines.iter();
                for engine in excluded.filter(|engine| versions.contains(&engine.software)) {
                    names.remove(&engine.name);
                }
                Self::Only(names)
            }
        }
    }

    /// Whether an engine may get the request.
    pub fn admits(&self, entry: &EngineEntry) -> bool {
        match self {
            Self::Any => true,
            Self::Only(engines) => engines.contains(&entry.name),
            Self::Version(version) => entry.software == *version,
            Self::Except(versions) => !versions.contains(&entry.software),
        }
    }
}
