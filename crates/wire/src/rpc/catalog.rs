//! The whole configuration.

use std::collections::BTreeMap;

use ryerouter_core::catalog::{BackEnd, Catalog, MigrationStage, Pool, Tenant};
use ryerouter_core::claim::ClaimRoster;
use ryerouter_core::identity::ConfigVersion;

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&Catalog> for v1::Configuration {
    fn from(catalog: &Catalog) -> Self {
        Self {
            version: catalog.version.0,
            tenants: catalog.tenants.values().map(Into::into).collect(),
            pools: catalog.pools.values().map(Into::into).collect(),
            back_ends: catalog.back_ends.values().map(Into::into).collect(),
            stages: catalog.stages.values().map(Into::into).collect(),
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
        faults.finish(Self {
            version: ConfigVersion(message.version),
            tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect(),
            pools: pools.into_iter().map(|p| (p.name.clone(), p)).collect(),
            back_ends: back_ends.into_iter().map(|b| (b.name.clone(), b)).collect(),
            stages: stages.into_iter().map(|s| (s.name.clone(), s)).collect(),
            // Kept by router processes; operators neither see nor write it.
            claim_roster: ClaimRoster::default(),
            rollouts: BTreeMap::new(),
            stage_progress: BTreeMap::new(),
        })
    }
}

fn convert_all<M, R>(messages: Vec<M>, faults: &mut FaultList) -> Vec<R>
where
    R: TryFrom<M, Error = InvalidMessage>,
{
    let mut resources = Vec::with_capacity(messages.len());
    for message in messages {
        match R::try_from(message) {
            Ok(resource) => resources.push(resource),
            Err(invalid) => faults.extend(invalid),
        }
    }
    resources
}
