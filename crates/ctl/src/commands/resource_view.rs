//! Resources as tables or JSON.

use ryerouter_core::catalog::{BackEnd, MigrationStage, Pool, PoolKind, Tenant};
use serde::Serialize;
use serde_json::Value;

use crate::ctl_error::CtlError;
use crate::output::{Printer, Table};

/// Prints one resource: JSON, or its fields one a line.
pub fn print_one(resource: &impl Serialize, printer: &mut Printer<'_>) -> Result<(), CtlError> {
    if printer.json() {
        return printer.value(resource);
    }
    let mut table = Table::new(["FIELD", "VALUE"]);
    add_fields("", &serde_json::to_value(resource)?, &mut table);
    printer.table(&table)
}

/// Prints a list: one JSON array, or a table.
pub fn print_all<R: Serialize>(
    resources: &[R],
    table: impl FnOnce(&[R]) -> Table,
    printer: &mut Printer<'_>,
) -> Result<(), CtlError> {
    if printer.json() {
        return printer.value(&resources);
    }
    printer.table(&table(resources))
}

/// Table of tenants.
pub fn tenant_table(tenants: &[Tenant]) -> Table {
    let headings = [
        "NAME",
        "WEIGHT",
        "REQUESTS/S",
        "TOKENS/S",
        "STREAMS",
        "KEYS",
        "VERSION",
    ];
    let mut table = Table::new(headings);
    let limit = |limit: Option<u32>| limit.map_or_else(String::new, |limit| limit.to_string());
    for tenant in tenants {
        table.add([
            tenant.name.to_string(),
            tenant.weight.to_string(),
            limit(tenant.limits.requests_per_second),
            limit(tenant.limits.tokens_per_second),
            limit(tenant.limits.concurrent_streams),
            tenant.api_key_hashes.len().to_string(),
            tenant.version.to_string(),
        ]);
    }
    table
}

/// Table of pools.
pub fn pool_table(pools: &[Pool]) -> Table {
    let mut table = Table::new(["NAME", "KIND", "MODEL", "WEIGHTS", "KV STORE", "VERSION"]);
    for pool in pools {
        let (kind, model, weights) = match &pool.kind {
            PoolKind::Model {
                model,
                weights_version,
                ..
            } => ("model", model.to_string(), weights_version.to_string()),
            PoolKind::Service => ("service", String::new(), String::new()),
        };
        table.add([
            pool.name.to_string(),
            kind.to_owned(),
            model,
            weights,
            pool.kv_store
                .map_or_else(String::new, |address| address.to_string()),
            pool.version.to_string(),
        ]);
    }
    table
}

/// Table of back ends.
pub fn back_end_table(back_ends: &[BackEnd]) -> Table {
    let headings = [
        "NAME",
        "POOL",
        "ADDRESS",
        "DATA CENTRE",
        "ZONE",
        "STATE",
        "VERSION",
    ];
    let mut table = Table::new(headings);
    for back_end in back_ends {
        table.add([
            back_end.name.to_string(),
            back_end.pool.to_string(),
            back_end.address.to_string(),
            back_end.data_centre.to_string(),
            back_end.zone.to_string(),
            word(&back_end.state),
            back_end.version.to_string(),
        ]);
    }
    table
}

/// Table of migration stages.
pub fn stage_table(stages: &[MigrationStage]) -> Table {
    let headings = [
        "NAME", "POOL", "TENANT", "FROM", "TO", "SHARE", "STEP", "HOLD S", "STATE", "VERSION",
    ];
    let mut table = Table::new(headings);
    for stage in stages {
        let tenant = stage.tenant.as_ref();
        table.add([
            stage.name.to_string(),
            stage.pool.to_string(),
            tenant.map_or_else(String::new, ToString::to_string),
            stage.source.to_string(),
            stage.target.to_string(),
            stage.target_share_permille.to_string(),
            stage.step_permille.to_string(),
            stage.hold_seconds.to_string(),
            word(&stage.state),
            stage.version.to_string(),
        ]);
    }
    table
}

/// The word that stands for a value in JSON.
fn word(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(word)) => word,
        _ => String::new(),
    }
}

fn add_fields(path: &str, value: &Value, table: &mut Table) {
    let Value::Object(fields) = value else {
        let shown = match value {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        table.add([path.to_owned(), shown]);
        return;
    };
    for (name, value) in fields {
        let path = match path {
            "" => name.clone(),
            _ => format!("{path}.{name}"),
        };
        add_fields(&path, value, table);
    }
}
