//! Back ends in a resource file.

use ryerouter_core::catalog::{BackEndState, Catalog};
use ryerouter_core::identity::BackEndName;
use ryerouter_wire::generated::v1;
use serde::Deserialize;

/// A back end in a resource file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEndEntry {
    /// Its name.
    pub name: String,
    pool: String,
    address: String,
    data_centre: String,
    zone: String,
    state: Option<BackEndState>,
}

impl BackEndEntry {
    /// The back end; without a state in the entry it keeps the state it has.
    pub fn message(&self, catalog: &Catalog) -> v1::BackEnd {
        let current = catalog.back_ends.get(&BackEndName::new(&self.name));
        let current_state = current.map(|back_end| back_end.state);
        let state = self.state.or(current_state).unwrap_or_default();
        v1::BackEnd {
            name: self.name.clone(),
            pool: self.pool.clone(),
            address: self.address.clone(),
            data_centre: self.data_centre.clone(),
            zone: self.zone.clone(),
            state: v1::BackEndState::from(state).into(),
            version: 0,
        }
    }
}
