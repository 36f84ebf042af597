//! A migration stage.

use serde::{Deserialize, Serialize};

use super::{RollbackRule, StageState};
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
    /// Share of traffic that the target shall have in the end, in thousandths.
    pub target_share_permille: u16,
    /// Thousandths by which the share rises at once; 0 sets the whole share in one step.
    #[serde(default)]
    pub step_permille: u16,
    /// Seconds that each step is held before the next.
    #[serde(default)]
    pub hold_seconds: u32,
    /// When the move is taken back without an operator.
    #[serde(default)]
    pub rollback_rule: RollbackRule,
    /// Whether it moves, holds or has been taken back.
    #[serde(default)]
    pub state: StageState,
    /// Version of the configuration that last changed it.
    #[serde(default)]
    pub version: ResourceVersion,
}
