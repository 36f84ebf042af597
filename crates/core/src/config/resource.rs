//! Resources.

use serde::{Deserialize, Serialize};

use crate::catalog::{BackEnd, MigrationStage, Pool, StageProgress, Tenant, WeightsRollout};
use crate::claim::ClaimRoster;

use super::ResourceReference;

/// Anything operators create.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// A tenant.
    Tenant(Tenant),
    /// A pool.
    Pool(Pool),
    /// A back end.
    BackEnd(BackEnd),
    /// A migration stage.
    Stage(MigrationStage),
    /// Who keeps claims; written by router processes, never by operators.
    ClaimRoster(ClaimRoster),
    /// How far a stage has come; written by router processes, never by operators.
    StageProgress(StageProgress),
    /// A change of weights on its way; written by router processes, never by operators.
    Rollout(WeightsRollout),
}

impl Resource {
    /// Its kind and name.
    pub fn reference(&self) -> ResourceReference {
        match self {
            Self::Tenant(tenant) => ResourceReference::Tenant(tenant.name.clone()),
            Self::Pool(pool) => ResourceReference::Pool(pool.name.clone()),
            Self::BackEnd(back_end) => ResourceReference::BackEnd(back_end.name.clone()),
            Self::Stage(stage) => ResourceReference::Stage(stage.name.clone()),
            Self::ClaimRoster(_) => ResourceReference::ClaimRoster,
            Self::StageProgress(progress) => {
                ResourceReference::StageProgress(progress.stage.clone())
            }
            Self::Rollout(rollout) => ResourceReference::Rollout(rollout.pool.clone()),
        }
    }
}
