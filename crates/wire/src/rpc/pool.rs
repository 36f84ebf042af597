//! Pools.

use std::net::SocketAddr;

use ryerouter_core::catalog::{DEFAULT_WEIGHT_LOADS_AT_ONCE, Pool, PoolKind};
use ryerouter_core::identity::{AdapterName, ModelName, PoolName, ResourceVersion, WeightsVersion};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&Pool> for v1::Pool {
    fn from(pool: &Pool) -> Self {
        Self {
            name: pool.name.to_string(),
            kind: Some((&pool.kind).into()),
            kv_store: pool.kv_store.map_or_else(String::new, |a| a.to_string()),
            version: pool.version.0,
        }
    }
}

impl From<&PoolKind> for v1::pool::Kind {
    fn from(kind: &PoolKind) -> Self {
        match kind {
            PoolKind::Model {
                model,
                weights_version,
                adapters,
                weight_loads_at_once,
            } => Self::Model(v1::ModelPool {
                model: model.to_string(),
                weights_version: weights_version.0,
                adapters: adapters.iter().map(ToString::to_string).collect(),
                weight_loads_at_once: *weight_loads_at_once,
            }),
            PoolKind::Service => Self::Service(v1::ServicePool {}),
        }
    }
}

impl TryFrom<v1::Pool> for Pool {
    type Error = InvalidMessage;

    fn try_from(message: v1::Pool) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        faults.check_name("pool.name", &message.name);
        let kv_store = parse_kv_store(&message.kv_store, &mut faults);
        let kind = parse_kind(message.kind, &mut faults);
        faults.finish(Self {
            name: PoolName::new(message.name),
            kind,
            kv_store,
            version: ResourceVersion(message.version),
        })
    }
}

fn parse_kv_store(text: &str, faults: &mut FaultList) -> Option<SocketAddr> {
    if text.is_empty() {
        return None;
    }
    faults.parse_address("pool.kv_store", text)
}

fn parse_kind(kind: Option<v1::pool::Kind>, faults: &mut FaultList) -> PoolKind {
    match kind {
        Some(v1::pool::Kind::Model(model)) => parse_model_pool(model, faults),
        Some(v1::pool::Kind::Service(v1::ServicePool {})) => PoolKind::Service,
        None => {
            faults.add("pool.kind", "(none)", "expected model or service");
            PoolKind::Service
        }
    }
}

fn parse_model_pool(message: v1::ModelPool, faults: &mut FaultList) -> PoolKind {
    faults.check_model_name("pool.model.model", &message.model);
    for (index, adapter) in message.adapters.iter().enumerate() {
        faults.check_model_name(&format!("pool.model.adapters[{index}]"), adapter);
    }
    let weight_loads_at_once = match message.weight_loads_at_once {
        0 => DEFAULT_WEIGHT_LOADS_AT_ONCE,
        number => number,
    };
    PoolKind::Model {
        model: ModelName::new(message.model),
        weights_version: WeightsVersion(message.weights_version),
        adapters: message.adapters.iter().map(AdapterName::new).collect(),
        weight_loads_at_once,
    }
}
