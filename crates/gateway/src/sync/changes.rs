//! Changes of the list of engines, in groups.

use std::collections::BTreeMap;

use ryerouter_core::identity::BackEndName;
use serde::{Deserialize, Serialize};

use super::{EngineChange, EntryGroup};
use crate::peers::readable::readable;

/// Changes of the list of engines: the last of each engine, in groups. Where hundreds of engines come or go a second, as when
/// a fleet starts, they still fit one datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "readable")]
    listed: Vec<EntryGroup>,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    gone: Vec<BackEndName>,
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    unusable: Vec<BackEndName>,
}

impl Changes {
    /// Puts changes, which are in order, into groups.
    pub fn of(changes: &[EngineChange]) -> Self {
        let named = changes.iter().map(|change| (change.engine(), change));
        let last: BTreeMap<_, _> = named.collect();
        let of_kind = |is_kind: fn(&EngineChange) -> bool| {
            let names = last.iter().filter(move |(_, change)| is_kind(change));
            names.map(|(name, _)| (*name).clone()).collect()
        };
        let listed = last.values().filter_map(|change| match change {
            EngineChange::Listed(entry) => Some(entry),
            EngineChange::Gone(_) | EngineChange::Unusable(_) => None,
        });
        Self {
            listed: EntryGroup::of(listed),
            gone: of_kind(|change| matches!(change, EngineChange::Gone(_))),
            unusable: of_kind(|change| matches!(change, EngineChange::Unusable(_))),
        }
    }

    /// The changes, one of each engine.
    pub fn changes(&self) -> impl Iterator<Item = EngineChange> {
        let listed = self.listed.iter().cloned();
        let listed = listed.flat_map(EntryGroup::into_entries);
        let gone = self.gone.iter().cloned().map(EngineChange::Gone);
        let unusable = self.unusable.iter().cloned();
        let unusable = unusable.map(EngineChange::Unusable);
        listed.map(EngineChange::Listed).chain(gone).chain(unusable)
    }
}
