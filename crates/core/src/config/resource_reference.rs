//! References to resources.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{BackEndName, PoolName, StageName, TenantName};

/// Kind and name of a resource.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum ResourceReference {
    /// A tenant.
    #[display("tenant {_0}")]
    Tenant(TenantName),
    /// A pool.
    #[display("pool {_0}")]
    Pool(PoolName),
    /// A back end.
    #[display("back end {_0}")]
    BackEnd(BackEndName),
    /// A migration stage.
    #[display("stage {_0}")]
    Stage(StageName),
    /// Who keeps claims.
    #[display("claim roster")]
    ClaimRoster,
    /// How far a stage has come.
    #[display("progress of stage {_0}")]
    StageProgress(StageName),
    /// A change of weights on its way.
    #[display("rollout of pool {_0}")]
    Rollout(PoolName),
}
