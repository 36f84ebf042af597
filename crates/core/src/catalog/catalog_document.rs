//! The whole configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    BackEnd, MigrationStage, Pool, PoolKind, StageProgress, StageState, Tenant, WeightsRollout,
};
use crate::claim::ClaimRoster;
use crate::identity::{
    BackEndName, ConfigVersion, PoolName, StageName, TenantName, WeightsVersion,
};

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
    /// How far stages have come that move step by step.
    #[serde(default)]
    pub stage_progress: BTreeMap<StageName, StageProgress>,
    /// Changes of weights on their way, by pool.
    #[serde(default)]
    pub rollouts: BTreeMap<PoolName, WeightsRollout>,
    /// Who keeps the claims of requests that run at most once.
    #[serde(default)]
    pub claim_roster: ClaimRoster,
}

impl Catalog {
    /// The stage that moves requests of `tenant` to `pool`: its own, or else the one of all tenants.
    pub fn stage_of(&self, pool: &PoolName, tenant: &TenantName) -> Option<&MigrationStage> {
        let of_pool = || self.stages.values().filter(|stage| stage.pool == *pool);
        of_pool()
            .find(|stage| stage.tenant.as_ref() == Some(tenant))
            .or_else(|| of_pool().find(|stage| stage.tenant.is_none()))
    }

    /// Share of traffic that goes to the target of `stage` now, in thousandths.
    pub fn stage_share(&self, stage: &MigrationStage) -> u16 {
        if stage.state == StageState::RolledBack {
            return 0;
        }
        let whole = stage.target_share_permille;
        if stage.step_permille == 0 {
            return whole;
        }
        let progress = self.stage_progress.get(&stage.name);
        progress.map_or(0, |progress| progress.share_permille.min(whole))
    }

    /// The weights that a request of `pool` asks for; `sample` is a hash, the same for prompts
    /// that share a prefix. `None` for pools without weights.
    pub fn weights_for(&self, pool: &Pool, sample: u64) -> Option<WeightsVersion> {
        let PoolKind::Model {
            weights_version, ..
        } = &pool.kind
        else {
            return None;
        };
        let rollout = self.rollouts.get(&pool.name);
        let stays = rollout.filter(|rollout| !rollout.has_moved(sample));
        Some(stays.map_or(*weights_version, |rollout| rollout.from))
    }
}
