//! An accepted change.

use serde::{Deserialize, Serialize};

use crate::catalog::{
    Catalog, MigrationStage, Pool, PoolKind, StageProgress, StageState, WeightsRollout,
};
use crate::identity::{ConfigVersion, ResourceVersion, WeightsVersion};
use crate::timestamp::Timestamp;

use super::{Change, Mutation, Resource, ResourceReference};

const WHOLE_PERMILLE: u16 = 1_000;

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
            start_rollout(catalog, &pool);
            catalog.pools.insert(pool.name.clone(), pool);
        }
        Resource::BackEnd(mut back_end) => {
            back_end.version = version;
            catalog.back_ends.insert(back_end.name.clone(), back_end);
        }
        Resource::Stage(mut stage) => {
            stage.version = version;
            restart_progress(catalog, &stage);
            catalog.stages.insert(stage.name.clone(), stage);
        }
        Resource::ClaimRoster(mut roster) => {
            roster.version = version;
            catalog.claim_roster = roster;
        }
        Resource::StageProgress(mut progress) => {
            progress.version = version;
            let stage = progress.stage.clone();
            catalog.stage_progress.insert(stage, progress);
        }
        Resource::Rollout(mut rollout) => {
            rollout.version = version;
            catalog.rollouts.insert(rollout.pool.clone(), rollout);
        }
    }
}

/// A stage goes on from where it is while it moves the same traffic the same way, and from nothing
/// after it was taken back. In any case its new terms are judged anew.
fn restart_progress(catalog: &mut Catalog, stage: &MigrationStage) {
    let moves_the_same = |before: &&MigrationStage| {
        before.pool == stage.pool
            && before.tenant == stage.tenant
            && before.source == stage.source
            && before.target == stage.target
    };
    let before = catalog.stages.get(&stage.name).filter(moves_the_same);
    let share_before = before.map_or(0, |before| catalog.stage_share(before));
    let share_permille = match stage.state {
        StageState::RolledBack => 0,
        StageState::Running | StageState::Paused => share_before.min(stage.target_share_permille),
    };
    let progress = StageProgress {
        stage: stage.name.clone(),
        share_permille,
        finished: false,
        note: String::new(),
        version: stage.version,
    };
    catalog.stage_progress.insert(stage.name.clone(), progress);
}

/// A pool that changes its weights moves its requests to them step by step. Of the weights before,
/// those count that most requests ask for.
fn start_rollout(catalog: &mut Catalog, pool: &Pool) {
    let Some(before) = catalog.pools.get(&pool.name) else {
        return;
    };
    let (Some(served), Some(wanted)) = (weights_of(before), weights_of(pool)) else {
        return;
    };
    if served == wanted {
        return;
    }
    let running = catalog.rollouts.get(&pool.name);
    let from = match running {
        Some(rollout) if rollout.share_permille < WHOLE_PERMILLE / 2 => rollout.from,
        _ => served,
    };
    let share_permille = match running {
        Some(rollout) if rollout.from == wanted => WHOLE_PERMILLE - rollout.share_permille,
        _ => 0,
    };
    let from = if from == wanted { served } else { from };
    let rollout = WeightsRollout {
        pool: pool.name.clone(),
        from,
        share_permille,
        version: pool.version,
    };
    catalog.rollouts.insert(pool.name.clone(), rollout);
}

fn weights_of(pool: &Pool) -> Option<WeightsVersion> {
    match pool.kind {
        PoolKind::Model {
            weights_version, ..
        } => Some(weights_version),
        PoolKind::Service => None,
    }
}

fn delete(catalog: &mut Catalog, reference: &ResourceReference) {
    match reference {
        ResourceReference::Tenant(name) => {
            catalog.tenants.remove(name);
        }
        ResourceReference::Pool(name) => {
            catalog.pools.remove(name);
            catalog.rollouts.remove(name);
        }
        ResourceReference::BackEnd(name) => {
            catalog.back_ends.remove(name);
        }
        ResourceReference::Stage(name) => {
            catalog.stages.remove(name);
            catalog.stage_progress.remove(name);
        }
        // Refused by validation: without a roster nothing can be claimed.
        ResourceReference::ClaimRoster => {}
        ResourceReference::StageProgress(stage) => {
            catalog.stage_progress.remove(stage);
        }
        ResourceReference::Rollout(pool) => {
            catalog.rollouts.remove(pool);
        }
    }
}
