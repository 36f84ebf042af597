//! A migration stage.

use serde::{Deserialize, Serialize};

use super::StageState;
use crate::identity::{DataCentreName, PoolName, ResourceVersion, StageName, TenantName};

/// How much of a pool's traffic goes to the data centre it is moved to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationStage {
    /// Its name, unique among stages.
    pub name: StageName,
    /// The pool that moves.
    pub pool: PoolName,
    /// The only tenant that moves, or all.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// The data centre that gives up traffic.
    pub source: DataCentreName,
    /// The data centre that takes traffic.
    pub target: DataCentreName,
    /// Share of traffic for the target, in thousandths.
    pub target_share_permille: u16,
    /// Whether it moves, holds or has been taken back.
    #[serde(default)]
    pub state: StageState,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}
