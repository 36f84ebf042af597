//! Checks of changes before they are written.

mod support;

use std::sync::Arc;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::{
    ApiKeyHash, MigrationStage, Pool, PoolKind, StageState, TenantLimits,
};
use ryerouter_core::config::{
    ChangeRefusal, ConfigReplica, Expectation, Mutation, Resource, ResourceReference,
    ValidationError, validate,
};
use ryerouter_core::identity::WeightsVersion;
use support::{back_end, change, pool, put, tenant};
use yare::parameterized;

fn replica() -> ConfigReplica {
    let mut replica = ConfigReplica::default();
    let mutations = vec![
        create(pool("pool")),
        create(back_end("engine-1", "pool", 8001)),
        create(elsewhere(back_end("engine-2", "pool", 8002))),
        create(model_pool("llm", "model", &["adapter"])),
        create(keyed(tenant("tenant", 1), &"a".repeat(64))),
        create(stage("stage-1", 600)),
    ];
    let entry = validate(&replica, &change("base", mutations), Timestamp::ZERO).unwrap();
    replica.append(&Arc::new(entry));
    replica
}

fn faults(mutations: Vec<Mutation>) -> Vec<ValidationError> {
    match validate(&replica(), &change("id", mutations), Timestamp::ZERO) {
        Err(ChangeRefusal::Invalid { faults }) => faults,
        other => panic!("{other:?}"),
    }
}

fn create(resource: Resource) -> Mutation {
    put(resource, Expectation::Any)
}

fn delete(reference: ResourceReference) -> Mutation {
    Mutation::Delete {
        reference,
        expected: Expectation::Any,
    }
}

fn elsewhere(resource: Resource) -> Resource {
    with_back_end(resource, |found| {
        found.data_centre = "dc-2".into();
        found.zone = "zone-2".into();
    })
}

fn with_back_end(
    mut resource: Resource,
    edit: impl Fn(&mut ryerouter_core::catalog::BackEnd),
) -> Resource {
    if let Resource::BackEnd(back_end) = &mut resource {
        edit(back_end);
    }
    resource
}

fn keyed(mut resource: Resource, hash: &str) -> Resource {
    if let Resource::Tenant(tenant) = &mut resource {
        tenant.api_key_hashes.push(ApiKeyHash(hash.to_owned()));
    }
    resource
}

fn limited(mut resource: Resource) -> Resource {
    if let Resource::Tenant(tenant) = &mut resource {
        tenant.limits = TenantLimits {
            requests_per_second: Some(0),
            ..TenantLimits::default()
        };
    }
    resource
}

fn model_pool(name: &str, model: &str, adapters: &[&str]) -> Resource {
    Resource::Pool(Pool {
        name: name.into(),
        kind: PoolKind::Model {
            model: model.into(),
            weights_version: WeightsVersion(1),
            adapters: adapters.iter().map(|name| (*name).into()).collect(),
            weight_loads_at_once: 1,
        },
        kv_store: None,
        version: Default::default(),
    })
}

fn stage(name: &str, share: u16) -> Resource {
    stage_between(name, share, "dc-1", "dc-2")
}

fn stage_between(name: &str, share: u16, source: &str, target: &str) -> Resource {
    Resource::Stage(MigrationStage {
        name: name.into(),
        pool: "pool".into(),
        tenant: None,
        source: source.into(),
        target: target.into(),
        target_share_permille: share,
        step_permille: 100,
        hold_seconds: 60,
        state: StageState::Running,
        rollback_rule: Default::default(),
        version: Default::default(),
    })
}

#[parameterized(
    bad_name = { create(tenant("a b", 1)), "tenants[a b].name" },
    long_name = { create(tenant(&"n".repeat(64), 1)), &format!("tenants[{}].name", "n".repeat(64)) },
    weight = { create(tenant("t", 0)), "tenants[t].weight" },
    limit = { create(limited(tenant("t", 1))), "tenants[t].limits.requests_per_second" },
    key_form = { create(keyed(tenant("t", 1), "ABC")), "tenants[t].api_key_hashes" },
    key_of_other = { create(keyed(tenant("u", 1), &"a".repeat(64))), "tenants[u].api_key_hashes" },
    model_served_twice = { create(model_pool("other", "model", &[])), "pools[other].model" },
    adapter_served_twice = { create(model_pool("other", "m", &["adapter"])), "pools[other].adapters" },
    unknown_pool = { create(back_end("e", "none", 9000)), "back_ends[e].pool" },
    same_address = { create(back_end("f", "pool", 8001)), "back_ends[f].address" },
    no_port = { create(back_end("e", "pool", 0)), "back_ends[e].address" },
    zone_elsewhere = { create(with_back_end(back_end("x", "pool", 9000), |b| b.data_centre = "dc-2".into())), "back_ends[x].zone" },
    share_too_big = { create(stage("s", 1001)), "stages[s].target_share_permille" },
    shares_together = { create(stage("stage-2", 401)), "stages[stage-2].target_share_permille" },
    same_data_centre = { create(stage_between("s", 1, "dc-1", "dc-1")), "stages[s].target" },
    empty_data_centre = { create(stage_between("s", 1, "dc-1", "dc-9")), "stages[s].target" },
    pool_in_use = { delete(ResourceReference::Pool("pool".into())), "back_ends[engine-1].pool" },
    unknown_deleted = { delete(ResourceReference::Tenant("none".into())), "mutations[0].delete" },
)]
fn a_fault_names_its_field(mutation: Mutation, field: &str) {
    let faults = faults(vec![mutation]);
    assert!(
        faults.iter().any(|fault| fault.field == field),
        "{field} not in {faults:?}"
    );
}

#[test]
fn all_faults_are_told_at_once() {
    let mutations = vec![
        create(tenant("a b", 0)),
        create(back_end("e", "none", 0)),
        create(tenant("a b", 1)),
    ];
    assert!(faults(mutations).len() >= 4);
}

#[test]
fn shares_up_to_the_whole_are_taken() {
    let mutations = vec![create(stage("stage-2", 400))];
    assert!(validate(&replica(), &change("id", mutations), Timestamp::ZERO).is_ok());
}

#[test]
fn a_mutation_of_something_deleted_names_who_deleted_it() {
    let mut replica = replica();
    let gone = ResourceReference::Tenant("tenant".into());
    let deletion = change("gone", vec![delete(gone)]);
    let entry = validate(&replica, &deletion, Timestamp::ZERO).unwrap();
    replica.append(&Arc::new(entry));
    let expected = Expectation::Version(ryerouter_core::identity::ResourceVersion(1));
    let late = change("late", vec![put(tenant("tenant", 2), expected)]);
    let refusal = validate(&replica, &late, Timestamp::ZERO).unwrap_err();
    let ChangeRefusal::Stale { author, actual, .. } = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!((author.as_str(), actual), ("author of gone", None));
}
