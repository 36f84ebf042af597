//! The zones that a node has to hear to know what serves.

use std::collections::BTreeSet;

use ryerouter_core::identity::ZoneName;

/// The zones of the other nodes that a node heard when its list of engines was last current. One that is silent since may
/// be cut off, and serve versions of which this node has not heard.
#[derive(Debug, Default)]
pub struct HeardZones {
    /// `None` until the list was current.
    zones: Option<BTreeSet<ZoneName>>,
}

impl HeardZones {
    /// Records the zones that are heard while the list is current.
    pub fn note_current(&mut self, zones: BTreeSet<ZoneName>) {
        self.zones = Some(zones);
    }

    /// Whether all of them are among `heard`.
    pub fn are_all_in(&self, heard: &BTreeSet<ZoneName>) -> bool {
        self.zones
            .as_ref()
            .is_some_and(|zones| zones.is_subset(heard))
    }
}
