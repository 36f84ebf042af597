//! One entry of a resource file.

use ryerouter_core::catalog::{BackEnd, Catalog, MigrationStage, Pool, Tenant};
use ryerouter_wire::rpc::InvalidMessage;

use crate::difference::KnownResource;
use crate::resource_kind::ResourceKind;

use super::back_end_entry::BackEndEntry;
use super::pool_entry::PoolEntry;
use super::stage_entry::StageEntry;
use super::tenant_entry::TenantEntry;

/// One entry of a resource file. What an entry leaves to the operators' other commands, such as
/// whether a back end drains, is taken from the configuration in force.
#[derive(Debug, Clone)]
pub enum ResourceEntry {
    /// A tenant.
    Tenant(TenantEntry),
    /// A pool.
    Pool(PoolEntry),
    /// A back end.
    BackEnd(BackEndEntry),
    /// A stage.
    Stage(StageEntry),
}

impl ResourceEntry {
    /// The resource that this entry asks for, given the configuration in force.
    pub fn resource(&self, catalog: &Catalog) -> Result<KnownResource, InvalidMessage> {
        match self {
            Self::Tenant(entry) => Tenant::try_from(entry.message()).map(Into::into),
            Self::Pool(entry) => Pool::try_from(entry.message()).map(Into::into),
            Self::BackEnd(entry) => BackEnd::try_from(entry.message(catalog)).map(Into::into),
            Self::Stage(entry) => MigrationStage::try_from(entry.message(catalog)).map(Into::into),
        }
    }

    /// The resource's kind.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Tenant(_) => ResourceKind::Tenant,
            Self::Pool(_) => ResourceKind::Pool,
            Self::BackEnd(_) => ResourceKind::BackEnd,
            Self::Stage(_) => ResourceKind::Stage,
        }
    }

    /// The resource's name.
    pub fn name(&self) -> &str {
        match self {
            Self::Tenant(entry) => &entry.name,
            Self::Pool(entry) => &entry.name,
            Self::BackEnd(entry) => &entry.name,
            Self::Stage(entry) => &entry.name,
        }
    }
}
