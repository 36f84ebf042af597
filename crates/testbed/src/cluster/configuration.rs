//! The configuration of a deployment, as operators would create it.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::mutation::Change;
use sha2::{Digest, Sha256};

use super::stand_in_set::{FIRST_WEIGHTS, Placed};
use super::{StandInSet, tenant_key};
use crate::scenario::Scenario;

/// Everything that operators create for a deployment, in one change.
pub fn whole_configuration(scenario: &Scenario, stand_ins: &StandInSet) -> v1::ApplyRequest {
    let pools = [model_pool(scenario, stand_ins), service_pool(scenario)];
    let pools = pools.into_iter().map(Change::Pool);
    let tenants = scenario.tenants.iter();
    let tenants = tenants.map(|spec| Change::Tenant(tenant(&spec.name)));
    let engines = stand_ins.engines.iter().map(|placed| {
        let address = placed.back_end.address().to_string();
        back_end(&scenario.model_pool.name, placed, address)
    });
    let services = stand_ins.services.iter().map(|placed| {
        let address = placed.back_end.address().to_string();
        back_end(&scenario.service_pool.name, placed, address)
    });
    let back_ends = engines.chain(services).map(Change::BackEnd);
    let changes = pools.chain(tenants).chain(back_ends);
    let mutations = changes.map(|change| v1::Mutation {
        expected_version: Some(0),
        change: Some(change),
    });
    v1::ApplyRequest {
        mutations: mutations.collect(),
        change_id: format!("create-{}", scenario.name),
        dry_run: false,
        author: "ryebench".to_owned(),
    }
}

fn model_pool(scenario: &Scenario, stand_ins: &StandInSet) -> v1::Pool {
    let pool = v1::ModelPool {
        model: scenario.model_pool.model.clone(),
        weights_version: FIRST_WEIGHTS.0,
        adapters: Vec::new(),
        weight_loads_at_once: scenario.model_pool.weights_loads_at_once,
    };
    v1::Pool {
        name: scenario.model_pool.name.clone(),
        kind: Some(v1::pool::Kind::Model(pool)),
        kv_store: stand_ins.kept.address().to_string(),
        version: 0,
    }
}

fn service_pool(scenario: &Scenario) -> v1::Pool {
    v1::Pool {
        name: scenario.service_pool.name.clone(),
        kind: Some(v1::pool::Kind::Service(v1::ServicePool {})),
        kv_store: String::new(),
        version: 0,
    }
}

fn tenant(name: &str) -> v1::Tenant {
    let hash = Sha256::digest(tenant_key(name));
    v1::Tenant {
        name: name.to_owned(),
        api_key_hashes: vec![hex::encode(hash)],
        weight: 1,
        ..v1::Tenant::default()
    }
}

/// A back end as operators create it.
pub fn back_end<B>(pool: &str, placed: &Placed<B>, address: String) -> v1::BackEnd {
    v1::BackEnd {
        name: placed.name.clone(),
        pool: pool.to_owned(),
        address,
        data_centre: placed.data_centre.clone(),
        zone: placed.zone.clone(),
        state: v1::BackEndState::Active.into(),
        version: 0,
    }
}
