//! The whole configuration.

use ryerouter_core::catalog::{
    BackEnd, Catalog, MigrationStage, Pool, StageProgress, Tenant, WeightsRollout,
};
use ryerouter_core::claim::ClaimRoster;
use ryerouter_core::identity::ConfigVersion;

use crate::generated::v1;

use super::{FaultList, InvalidMessage, convert_all};

impl From<&Catalog> for v1::Configuration {
    fn from(catalog: &Catalog) -> Self {
        Self {
            version: catalog.version.0,
            tenants: catalog.tenants.values().map(Into::into).collect(),
            pools: catalog.pools.values().map(Into::into).collect(),
            back_ends: catalog.back_ends.values().map(Into::into).collect(),
            stages: catalog.stages.values().map(Into::into).collect(),
            stage_progress: catalog.stage_progress.values().map(Into::into).collect(),
            rollouts: catalog.rollouts.values().map(Into::into).collect(),
        }
    }
}

impl TryFrom<v1::Configuration> for Catalog {
    type Error = InvalidMessage;

    fn try_from(message: v1::Configuration) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        let tenants: Vec<Tenant> = convert_all(message.tenants, &mut faults);
        let pools: Vec<Pool> = convert_all(message.pools, &mut faults);
        let back_ends: Vec<BackEnd> = convert_all(message.back_ends, &mut faults);
        let stages: Vec<MigrationStage> = convert_all(message.stages, &mut faults);
        let progress: Vec<StageProgress> = convert_all(message.stage_progress, &mut faults);
        let rollouts: Vec<WeightsRollout> = convert_all(message.rollouts, &mut faults);
        faults.finish(Self {
            version: ConfigVersion(message.version),
            tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect(),
            pools: pools.into_iter().map(|p| (p.name.clone(), p)).collect(),
            back_ends: back_ends.into_iter().map(|b| (b.name.clone(), b)).collect(),
            stages: stages.into_iter().map(|s| (s.name.clone(), s)).collect(),
            stage_progress: progress.into_iter().map(|p| (p.stage.clone(), p)).collect(),
            rollouts: rollouts.into_iter().map(|r| (r.pool.clone(), r)).collect(),
            // Kept by router processes; operators neither see nor write it.
            claim_roster: ClaimRoster::default(),
        })
    }
}
