//! Changes for tests.

use ryerouter_core::catalog::{BackEnd, BackEndState, Pool, PoolKind, Tenant, TenantLimits};
use ryerouter_core::config::{Change, Expectation, Mutation, Resource};
use ryerouter_core::identity::{ChangeId, ResourceVersion};

pub fn change(id: &str, mutations: Vec<Mutation>) -> Change {
    Change {
        change_id: ChangeId::new(id),
        author: format!("author of {id}"),
        mutations,
    }
}

pub fn put(resource: Resource, expected: Expectation) -> Mutation {
    Mutation::Put { resource, expected }
}

pub fn tenant(name: &str, weight: u32) -> Resource {
    Resource::Tenant(Tenant {
        name: name.into(),
        api_key_hashes: Vec::new(),
        weight,
        limits: TenantLimits::default(),
        version: ResourceVersion::default(),
    })
}

pub fn pool(name: &str) -> Resource {
    Resource::Pool(Pool {
        name: name.into(),
        kind: PoolKind::Service,
        kv_store: None,
        version: ResourceVersion::default(),
    })
}

pub fn back_end(name: &str, pool: &str, port: u16) -> Resource {
    Resource::BackEnd(BackEnd {
        name: name.into(),
        pool: pool.into(),
        address: ([10, 9, 0, 1], port).into(),
        data_centre: "dc-1".into(),
        zone: "zone-1".into(),
        state: BackEndState::Active,
        version: ResourceVersion::default(),
    })
}
