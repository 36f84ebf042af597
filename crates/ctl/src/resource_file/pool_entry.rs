//! Pools in a resource file.

use ryerouter_wire::generated::v1;
use serde::Deserialize;

/// A pool in a resource file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Its name.
    pub name: String,
    kind: PoolKindEntry,
    model: Option<String>,
    weights_version: Option<u64>,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    weight_loads_at_once: u32,
    #[serde(default)]
    kv_store: String,
}

/// Kind of a pool in a resource file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PoolKindEntry {
    Model,
    Service,
}

impl PoolEntry {
    /// The pool. Without a model or with fields of the other kind it is one that the check
    /// refuses, see [`PoolEntry::faults`].
    pub fn message(&self) -> v1::Pool {
        let kind = match self.kind {
            PoolKindEntry::Model => v1::pool::Kind::Model(v1::ModelPool {
                model: self.model.clone().unwrap_or_default(),
                weights_version: self.weights_version.unwrap_or_default(),
                adapters: self.adapters.clone(),
                weight_loads_at_once: self.weight_loads_at_once,
            }),
            PoolKindEntry::Service => v1::pool::Kind::Service(v1::ServicePool {}),
        };
        v1::Pool {
            name: self.name.clone(),
            kind: Some(kind),
            kv_store: self.kv_store.clone(),
            version: 0,
        }
    }

    /// Fields that this kind of pool must have or may not have: field, value, reason.
    pub fn faults(&self) -> Vec<(&'static str, String, &'static str)> {
        let mut faults = Vec::new();
        let model_fields = [
            ("model", self.model.clone()),
            (
                "weights_version",
                self.weights_version.map(|version| version.to_string()),
            ),
        ];
        for (field, value) in model_fields {
            match (self.kind, value) {
                (PoolKindEntry::Model, None) => {
                    faults.push((field, "(none)".to_owned(), "is required of a model pool"));
                }
                (PoolKindEntry::Service, Some(value)) => {
                    faults.push((field, value, "has no meaning in a service pool"));
                }
                _ => {}
            }
        }
        if self.kind == PoolKindEntry::Service && !self.adapters.is_empty() {
            let value = format!("{:?}", self.adapters);
            faults.push(("adapters", value, "has no meaning in a service pool"));
        }
        faults
    }
}
