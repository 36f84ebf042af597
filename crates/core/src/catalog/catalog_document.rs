//! The whole configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BackEnd, MigrationStage, Pool, Tenant};
use crate::claim::ClaimRoster;
use crate::identity::{BackEndName, ConfigVersion, PoolName, StageName, TenantName};

/// The whole configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the configuration; it only rises.
    pub version: ConfigVersion,
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, Pool>,
    /// Back ends by name.
    #[serde(default)]
    pub back_ends: BTreeMap<BackEndName, BackEnd>,
    /// Migration stages by name.
    #[serde(default)]
    pub stages: BTreeMap<StageName, MigrationStage>,
    /// Who keeps the claims of requests that run at most once.
    #[serde(default)]
    pub claim_roster: ClaimRoster,
}
