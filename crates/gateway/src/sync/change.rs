//! A change of the list of engines, as it is told between nodes.

use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use crate::engines::EngineEntry;
use crate::source::{Item, ItemChange};

/// A change of the list of engines, as it is told between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineChange {
    /// The engine is listed with this entry.
    #[serde(rename = "l")]
    Listed(EngineEntry),
    /// The engine is not listed any more.
    #[serde(rename = "g")]
    Gone(BackEndName),
    /// The entry can't be read any more, so it names no engine.
    #[serde(rename = "u")]
    Unusable(BackEndName),
}

impl EngineChange {
    /// The engine that it is about.
    pub fn engine(&self) -> &BackEndName {
        match self {
            Self::Listed(entry) => &entry.name,
            Self::Gone(name) | Self::Unusable(name) => name,
        }
    }

    /// The same change, when it is one of engines.
    pub fn of(change: ItemChange) -> Option<Self> {
        match change {
            ItemChange::Present(Item::Engine(entry)) => Some(Self::Listed(entry)),
            ItemChange::Present(Item::Unusable(name)) => Some(Self::Unusable(name)),
            ItemChange::Present(_) => None,
            ItemChange::Gone(name) => Some(Self::Gone(BackEndName::new(name))),
        }
    }
}

impl From<EngineChange> for ItemChange {
    fn from(change: EngineChange) -> Self {
        match change {
            EngineChange::Listed(entry) => Self::Present(Item::Engine(entry)),
            EngineChange::Gone(name) => Self::Gone(name.to_string()),
            EngineChange::Unusable(name) => Self::Present(Item::Unusable(name)),
        }
    }
}
