//! Reading a resource file.

use std::collections::BTreeSet;

use ryerouter_core::catalog::Catalog;
use ryerouter_wire::rpc::{FaultList, InvalidMessage};
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::client::read_file;
use crate::ctl_error::CtlError;
use crate::difference::KnownResource;

use super::ResourceEntry;
use super::pool_entry::PoolEntry;

const TENANTS: &str = "tenants";
const POOLS: &str = "pools";
const BACK_ENDS: &str = "back_ends";
const STAGES: &str = "stages";

/// A resource file: lists of tenants, pools, back ends and stages.
#[derive(Debug, Clone)]
pub struct ResourceFile {
    entries: Vec<ResourceEntry>,
}

impl ResourceFile {
    /// Reads a file.
    pub fn read(path: &str) -> Result<Self, CtlError> {
        Ok(Self::parse(&read_file(path)?)?)
    }

    /// Reads a text; every entry with a fault is reported.
    pub fn parse(text: &str) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        let table = match text.parse::<Table>() {
            Ok(table) => table,
            Err(error) => {
                faults.add("(syntax)", error.to_string().trim_end(), "not valid TOML");
                return Err(faults.into());
            }
        };
        let mut entries = Vec::new();
        for (key, value) in &table {
            read_list(key, value, &mut entries, &mut faults);
        }
        check_names_differ(&entries, &mut faults);
        faults.finish(Self { entries })
    }

    /// The resources that the file asks for, given the configuration in force.
    pub fn resources(&self, catalog: &Catalog) -> Result<Vec<KnownResource>, InvalidMessage> {
        let mut faults = FaultList::default();
        let mut resources = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            match entry.resource(catalog) {
                Ok(resource) => resources.push(resource),
                Err(invalid) => add_named(entry, invalid, &mut faults),
            }
        }
        faults.finish(resources)
    }
}

fn read_list(key: &str, value: &Value, entries: &mut Vec<ResourceEntry>, faults: &mut FaultList) {
    let Value::Array(items) = value else {
        faults.add(key, value, format!("expected a list: [[{key}]]"));
        return;
    };
    for (index, item) in items.iter().enumerate() {
        let field = item_path(key, index, item);
        let entry = match key {
            TENANTS => read_entry(&field, item, ResourceEntry::Tenant, faults),
            POOLS => read_pool(&field, item, faults),
            BACK_ENDS => read_entry(&field, item, ResourceEntry::BackEnd, faults),
            STAGES => read_entry(&field, item, ResourceEntry::Stage, faults),
            _ => {
                let reason = "unknown; expected tenants, pools, back_ends or stages";
                faults.add(key, format!("{} entries", items.len()), reason);
                return;
            }
        };
        entries.extend(entry);
    }
}

fn read_entry<E: DeserializeOwned>(
    field: &str,
    item: &Value,
    wrap: fn(E) -> ResourceEntry,
    faults: &mut FaultList,
) -> Option<ResourceEntry> {
    match item.clone().try_into::<E>() {
        Ok(entry) => Some(wrap(entry)),
        Err(error) => {
            let written = item.to_string().replace('\n', "; ");
            faults.add(field, written.trim_end(), error.message());
            None
        }
    }
}

fn read_pool(field: &str, item: &Value, faults: &mut FaultList) -> Option<ResourceEntry> {
    let entry = read_entry(field, item, ResourceEntry::Pool, faults)?;
    if let ResourceEntry::Pool(pool) = &entry {
        add_pool_faults(field, pool, faults);
    }
    Some(entry)
}

fn add_pool_faults(field: &str, pool: &PoolEntry, faults: &mut FaultList) {
    for (name, value, reason) in pool.faults() {
        faults.add(&format!("{field}.{name}"), value, reason);
    }
}

fn item_path(key: &str, index: usize, item: &Value) -> String {
    match item.get("name").and_then(Value::as_str) {
        Some(name) => format!("{key}[{name}]"),
        None => format!("{key}[{index}]"),
    }
}

fn check_names_differ(entries: &[ResourceEntry], faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for entry in entries {
        if !seen.insert((entry.kind(), entry.name())) {
            let name = format!("{} {}", entry.kind(), entry.name());
            faults.add("name", name, "stands twice in the file");
        }
    }
}

fn add_named(entry: &ResourceEntry, invalid: InvalidMessage, faults: &mut FaultList) {
    for fault in invalid.faults {
        // The first part of the field is the kind; the name says which one.
        let part = fault.field.split_once('.').map_or("", |(_, part)| part);
        let field = format!("{} {}: {part}", entry.kind(), entry.name());
        faults.add(&field, fault.value, fault.reason);
    }
}
