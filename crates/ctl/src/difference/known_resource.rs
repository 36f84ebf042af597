//! A resource with its kind, name and version.

use ryerouter_core::catalog::{BackEnd, Catalog, MigrationStage, Pool, Tenant};
use ryerouter_core::config::Resource;
use ryerouter_core::identity::ResourceVersion;
use serde_json::Value;

use crate::ctl_error::CtlError;
use crate::resource_kind::ResourceKind;

/// A resource with its kind, name and version.
#[derive(Debug, Clone)]
pub struct KnownResource {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: ResourceVersion,
    /// The resource.
    pub resource: Resource,
}

impl KnownResource {
    /// Every resource of a configuration that operators see.
    pub fn all(catalog: &Catalog) -> Vec<Self> {
        let tenants = catalog.tenants.values().cloned().map(Self::from);
        let pools = catalog.pools.values().cloned().map(Self::from);
        let back_ends = catalog.back_ends.values().cloned().map(Self::from);
        let stages = catalog.stages.values().cloned().map(Self::from);
        tenants
            .chain(pools)
            .chain(back_ends)
            .chain(stages)
            .collect()
    }

    /// Its place among others: resources come after those they refer to.
    pub fn write_order(&self) -> (ResourceKind, String) {
        (self.kind, self.name.clone())
    }

    /// Its fields, without its version.
    pub fn document(&self) -> Result<Value, CtlError> {
        let tagged = serde_json::to_value(&self.resource)?;
        let Value::Object(kinds) = tagged else {
            return Ok(tagged);
        };
        let mut document = kinds
            .into_iter()
            .map(|(_, fields)| fields)
            .next()
            .unwrap_or_default();
        if let Some(fields) = document.as_object_mut() {
            fields.remove("version");
        }
        Ok(document)
    }
}

impl From<Tenant> for KnownResource {
    fn from(tenant: Tenant) -> Self {
        Self {
            kind: ResourceKind::Tenant,
            name: tenant.name.to_string(),
            version: tenant.version,
            resource: Resource::Tenant(tenant),
        }
    }
}

impl From<Pool> for KnownResource {
    fn from(pool: Pool) -> Self {
        Self {
            kind: ResourceKind::Pool,
            name: pool.name.to_string(),
            version: pool.version,
            resource: Resource::Pool(pool),
        }
    }
}

impl From<BackEnd> for KnownResource {
    fn from(back_end: BackEnd) -> Self {
        Self {
            kind: ResourceKind::BackEnd,
            name: back_end.name.to_string(),
            version: back_end.version,
            resource: Resource::BackEnd(back_end),
        }
    }
}

impl From<MigrationStage> for KnownResource {
    fn from(stage: MigrationStage) -> Self {
        Self {
            kind: ResourceKind::Stage,
            name: stage.name.to_string(),
            version: stage.version,
            resource: Resource::Stage(stage),
        }
    }
}
