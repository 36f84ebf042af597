//! An accepted change.

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::identity::{ConfigVersion, ResourceVersion};
use crate::timestamp::Timestamp;

use super::{Change, Mutation, Resource, ResourceReference};

/// One accepted change, as written in the log of the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The version it makes.
    pub version: ConfigVersion,
    /// When the node that wrote it did so, by its clock; for people only.
    pub written_at: Timestamp,
    /// The change.
    #[serde(flatten)]
    pub change: Change,
}

impl LogEntry {
    /// Brings `catalog` from the version before to this entry's version. An entry in the log was
    /// validated against exactly that version, so nothing here can fail.
    pub fn apply_to(&self, catalog: &mut Catalog) {
        let resource_version = ResourceVersion(self.version.0);
        for mutation in &self.change.mutations {
            match mutation {
                Mutation::Put { resource, .. } => put(catalog, resource, resource_version),
                Mutation::Delete { reference, .. } => delete(catalog, reference),
            }
        }
        catalog.version = self.version;
    }

    /// Its length in bytes as JSON.
    pub fn encoded_length(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}

fn put(catalog: &mut Catalog, resource: &Resource, version: ResourceVersion) {
    match resource.clone() {
        Resource::Tenant(mut tenant) => {
            tenant.version = version;
            catalog.tenants.insert(tenant.name.clone(), tenant);
        }
        Resource::Pool(mut pool) => {
            pool.version = version;
            catalog.pools.insert(pool.name.clone(), pool);
        }
        Resource::BackEnd(mut back_end) => {
            back_end.version = version;
            catalog.back_ends.insert(back_end.name.clone(), back_end);
        }
        Resource::Stage(mut stage) => {
            stage.version = version;
            catalog.stages.insert(stage.name.clone(), stage);
        }
        Resource::ClaimRoster(mut roster) => {
            roster.version = version;
            catalog.claim_roster = roster;
        }
    }
}

fn delete(catalog: &mut Catalog, reference: &ResourceReference) {
    match reference {
        ResourceReference::Tenant(name) => {
            catalog.tenants.remove(name);
        }
        ResourceReference::Pool(name) => {
            catalog.pools.remove(name);
        }
        ResourceReference::BackEnd(name) => {
            catalog.back_ends.remove(name);
        }
        ResourceReference::Stage(name) => {
            catalog.stages.remove(name);
        }
        // Refused by validation: without a roster nothing can be claimed.
        ResourceReference::ClaimRoster => {}
    }
}
