//! Which engines of a pool may take a request.

use std::collections::BTreeSet;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::release::SoftwareVersion;

use crate::engines::EngineEntry;

/// Which engines of a pool may take a request, as far as releases are concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineFilter {
    /// All of them.
    Any,
    /// These.
    Only(BTreeSet<BackEndName>),
    /// All but those of these versions.
    Except(BTreeSet<SoftwareVersion>),
}

impl EngineFilter {
    /// All but the engines of these versions.
    pub fn except(versions: BTreeSet<SoftwareVersion>) -> Self {
        match versions.is_empty() {
            true => Self::Any,
            false => Self::Except(versions),
        }
    }

    /// Whether an engine may take the request.
    pub fn admits(&self, entry: &EngineEntry) -> bool {
        match self {
            Self::Any => true,
            Self::Only(engines) => engines.contains(&entry.name),
            Self::Except(versions) => !versions.contains(&entry.software),
        }
    }
}
