//! Rules that every catalog keeps.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::catalog::{BackEnd, Catalog, MigrationStage, Pool, PoolKind, StageState, Tenant};
use crate::identity::{DataCentreName, PoolName};

use super::ValidationError;

const MAX_NAME_LENGTH: usize = 63;
const MAX_TENANT_WEIGHT: u32 = 1_000;
const KEY_HASH_LENGTH: usize = 64;
const WHOLE_PERMILLE: u32 = 1_000;

/// All faults of a catalog.
pub fn catalog_faults(catalog: &Catalog) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    check_tenants(catalog, &mut faults);
    check_pools(catalog, &mut faults);
    check_back_ends(catalog, &mut faults);
    check_stages(catalog, &mut faults);
    faults
}

fn check_tenants(catalog: &Catalog, faults: &mut Vec<ValidationError>) {
    let mut owners = BTreeMap::new();
    for tenant in catalog.tenants.values() {
        check_tenant(tenant, faults);
        for hash in &tenant.api_key_hashes {
            if let Some(other) = owners.insert(hash, &tenant.name) {
                faults.push(ValidationError::new(
                    format!("tenants[{}].api_key_hashes", tenant.name),
                    hash,
                    format!("also a key of tenant {other}"),
                ));
            }
        }
    }
}

fn check_tenant(tenant: &Tenant, faults: &mut Vec<ValidationError>) {
    let path = format!("tenants[{}]", tenant.name);
    check_name(format!("{path}.name"), &tenant.name, faults);
    if !(1..=MAX_TENANT_WEIGHT).contains(&tenant.weight) {
        faults.push(ValidationError::new(
            format!("{path}.weight"),
            tenant.weight,
            format!("must be 1 to {MAX_TENANT_WEIGHT}"),
        ));
    }
    for hash in &tenant.api_key_hashes {
        if !is_key_hash(&hash.0) {
            faults.push(ValidationError::new(
                format!("{path}.api_key_hashes"),
                hash,
                "must be a SHA-256 in 64 lower-case hexadecimal digits",
            ));
        }
    }
    check_limits(&path, tenant, faults);
}

fn check_limits(path: &str, tenant: &Tenant, faults: &mut Vec<ValidationError>) {
    let limits = [
        ("requests_per_second", tenant.limits.requests_per_second),
        ("tokens_per_second", tenant.limits.tokens_per_second),
        ("concurrent_streams", tenant.limits.concurrent_streams),
    ];
    for (name, limit) in limits {
        if limit == Some(0) {
            faults.push(ValidationError::new(
                format!("{path}.limits.{name}"),
                0,
                "must be at least 1; leave it out for no limit",
            ));
        }
    }
}

fn check_pools(catalog: &Catalog, faults: &mut Vec<ValidationError>) {
    let mut servers: BTreeMap<&str, &PoolName> = BTreeMap::new();
    for pool in catalog.pools.values() {
        check_name(format!("pools[{}].name", pool.name), &pool.name, faults);
        for (field, served) in served_names(pool) {
            let path = format!("pools[{}].{field}", pool.name);
            check_model_name(path.clone(), served, faults);
            if let Some(other) = servers.insert(served, &pool.name) {
                faults.push(ValidationError::new(
                    path,
                    served,
                    format!("pool {other} already serves this name"),
                ));
            }
        }
    }
}

fn served_names(pool: &Pool) -> Vec<(&'static str, &str)> {
    let PoolKind::Model {
        model, adapters, ..
    } = &pool.kind
    else {
        return Vec::new();
    };
    let adapter_names = adapters.iter().map(|name| ("adapters", name.as_str()));
    std::iter::once(("model", model.as_str()))
        .chain(adapter_names)
        .collect()
}

fn check_back_ends(catalog: &Catalog, faults: &mut Vec<ValidationError>) {
    let mut addresses = BTreeMap::new();
    let mut zones = BTreeMap::new();
    for back_end in catalog.back_ends.values() {
        check_back_end(catalog, back_end, faults);
        if let Some(other) = addresses.insert(back_end.address, &back_end.name) {
            faults.push(ValidationError::new(
                format!("back_ends[{}].address", back_end.name),
                back_end.address,
                format!("also the address of back end {other}"),
            ));
        }
        let data_centre = zones.entry(&back_end.zone).or_insert(&back_end.data_centre);
        if **data_centre != back_end.data_centre {
            faults.push(ValidationError::new(
                format!("back_ends[{}].zone", back_end.name),
                &back_end.zone,
                format!("the zone stands in data centre {data_centre} by another back end"),
            ));
        }
    }
}

fn check_back_end(catalog: &Catalog, back_end: &BackEnd, faults: &mut Vec<ValidationError>) {
    let path = format!("back_ends[{}]", back_end.name);
    check_name(format!("{path}.name"), &back_end.name, faults);
    check_name(format!("{path}.data_centre"), &back_end.data_centre, faults);
    check_name(format!("{path}.zone"), &back_end.zone, faults);
    if !catalog.pools.contains_key(&back_end.pool) {
        faults.push(ValidationError::new(
            format!("{path}.pool"),
            &back_end.pool,
            "no such pool",
        ));
    }
    if back_end.address.port() == 0 || back_end.address.ip().is_unspecified() {
        faults.push(ValidationError::new(
            format!("{path}.address"),
            back_end.address,
            "must be an IP address that can be reached, with a port",
        ));
    }
}

fn check_stages(catalog: &Catalog, faults: &mut Vec<ValidationError>) {
    let mut shares: BTreeMap<_, u32> = BTreeMap::new();
    for stage in catalog.stages.values() {
        check_stage(catalog, stage, faults);
        if stage.state == StageState::RolledBack {
            continue;
        }
        let share = shares
            .entry((&stage.pool, &stage.tenant, &stage.source))
            .or_default();
        let before = *share;
        *share += u32::from(stage.target_share_permille);
        if *share > WHOLE_PERMILLE && before <= WHOLE_PERMILLE {
            faults.push(ValidationError::new(
                format!("stages[{}].target_share_permille", stage.name),
                stage.target_share_permille,
                format!(
                    "stages of pool {} out of {} together give away {share} of 1000",
                    stage.pool, stage.source
                ),
            ));
        }
    }
}

fn check_stage(catalog: &Catalog, stage: &MigrationStage, faults: &mut Vec<ValidationError>) {
    let path = format!("stages[{}]", stage.name);
    check_name(format!("{path}.name"), &stage.name, faults);
    check_stage_references(catalog, stage, &path, faults);
    if u32::from(stage.target_share_permille) > WHOLE_PERMILLE {
        faults.push(ValidationError::new(
            format!("{path}.target_share_permille"),
            stage.target_share_permille,
            "must be 0 to 1000",
        ));
    }
    if stage.source == stage.target {
        faults.push(ValidationError::new(
            format!("{path}.target"),
            &stage.target,
            "must differ from the source",
        ));
    }
}

fn check_stage_references(
    catalog: &Catalog,
    stage: &MigrationStage,
    path: &str,
    faults: &mut Vec<ValidationError>,
) {
    if !catalog.pools.contains_key(&stage.pool) {
        faults.push(ValidationError::new(
            format!("{path}.pool"),
            &stage.pool,
            "no such pool",
        ));
        return;
    }
    if let Some(tenant) = &stage.tenant
        && !catalog.tenants.contains_key(tenant)
    {
        faults.push(ValidationError::new(
            format!("{path}.tenant"),
            tenant,
            "no such tenant",
        ));
    }
    for (field, data_centre) in [("source", &stage.source), ("target", &stage.target)] {
        if !pool_stands_in(catalog, &stage.pool, data_centre) {
            faults.push(ValidationError::new(
                format!("{path}.{field}"),
                data_centre,
                format!("no back end of pool {} stands there", stage.pool),
            ));
        }
    }
}

fn pool_stands_in(catalog: &Catalog, pool: &PoolName, data_centre: &DataCentreName) -> bool {
    catalog
        .back_ends
        .values()
        .any(|back_end| back_end.pool == *pool && back_end.data_centre == *data_centre)
}

fn check_name(field: String, name: &impl Display, faults: &mut Vec<ValidationError>) {
    let name = name.to_string();
    if !is_name(&name) {
        faults.push(ValidationError::new(
            field,
            format!("{name:?}"),
            format!("must have 1 to {MAX_NAME_LENGTH} of a-z, A-Z, 0-9, '-', '_', '.'"),
        ));
    }
}

fn check_model_name(field: String, name: &str, faults: &mut Vec<ValidationError>) {
    let printable = name.chars().all(|letter| letter.is_ascii_graphic());
    if name.is_empty() || name.len() > 2 * MAX_NAME_LENGTH || !printable {
        faults.push(ValidationError::new(
            field,
            format!("{name:?}"),
            "must have 1 to 126 printable ASCII characters without blanks",
        ));
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.chars().all(allowed)
}

fn is_key_hash(hash: &str) -> bool {
    let is_digit = |letter: char| letter.is_ascii_digit() || ('a'..='f').contains(&letter);
    hash.len() == KEY_HASH_LENGTH && hash.chars().all(is_digit)
}
