//! A snapshot indexed for the intake of requests.

use std::collections::HashMap;
use std::sync::Arc;

use ryerouter_core::catalog::{Catalog, PoolKind, WeightsRollout};
use ryerouter_core::dispatch::RoutingSnapshot;
use ryerouter_core::identity::{
    AdapterName, ConfigVersion, ModelName, PoolName, TenantName, WeightsVersion,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

type KeyHash = [u8; 32];
type KeyBucket = [u8; 8];

/// A snapshot indexed for the intake of requests; built once for each snapshot.
#[derive(Debug, Default)]
pub(crate) struct RoutingView {
    pub(crate) version: ConfigVersion,
    pub(crate) snapshot: Arc<RoutingSnapshot>,
    keys: HashMap<KeyBucket, Vec<KeyOwner>>,
    models: HashMap<String, ModelRoute>,
    services: HashMap<String, PoolName>,
}

#[derive(Debug)]
struct KeyOwner {
    hash: KeyHash,
    tenant: TenantName,
}

/// Where requests for a model or adapter go.
#[derive(Debug, Clone)]
pub(crate) struct ModelRoute {
    pub(crate) pool: PoolName,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) weights_version: WeightsVersion,
    pub(crate) rollout: Option<WeightsRollout>,
}

impl ModelRoute {
    /// The weights that a request with this sample of its prompt asks for.
    pub(crate) fn weights_for(&self, sample: u64) -> WeightsVersion {
        match &self.rollout {
            Some(rollout) if !rollout.has_moved(sample) => rollout.from,
            _ => self.weights_version,
        }
    }
}

impl RoutingView {
    pub(crate) fn new(snapshot: &Arc<RoutingSnapshot>) -> Self {
        let catalog = &snapshot.catalog;
        Self {
            version: catalog.version,
            snapshot: snapshot.clone(),
            keys: index_keys(catalog),
            models: index_models(catalog),
            services: index_services(catalog),
        }
    }

    /// Whether any configuration has arrived.
    pub(crate) fn is_configured(&self) -> bool {
        self.version.0 > 0
    }

    /// The tenant an API key belongs to.
    ///
    /// The bucket is found by the hash's first bytes, which tell nothing useful of a key; the rest
    /// is compared in constant time.
    pub(crate) fn tenant_of_key(&self, key: &str) -> Option<&TenantName> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        let owners = self.keys.get(&bucket_of(&hash))?;
        let mut found = None;
        for owner in owners {
            if bool::from(owner.hash.ct_eq(&hash)) {
                found = Some(&owner.tenant);
            }
        }
        found
    }

    pub(crate) fn model(&self, name: &str) -> Option<&ModelRoute> {
        self.models.get(name)
    }

    pub(crate) fn service(&self, pool: &str) -> Option<&PoolName> {
        self.services.get(pool)
    }

    /// Names callers may put into `model`, sorted.
    pub(crate) fn model_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.models.keys().map(String::as_str).collect();
        names.sort_unstable();
        names
    }
}

fn bucket_of(hash: &KeyHash) -> KeyBucket {
    let mut bucket = KeyBucket::default();
    let length = bucket.len();
    bucket.copy_from_slice(&hash[..length]);
    bucket
}

fn index_keys(catalog: &Catalog) -> HashMap<KeyBucket, Vec<KeyOwner>> {
    let mut keys: HashMap<KeyBucket, Vec<KeyOwner>> = HashMap::new();
    for tenant in catalog.tenants.values() {
        for key_hash in &tenant.api_key_hashes {
            let mut hash = KeyHash::default();
            // Hashes are checked when configuration is accepted; a broken one matches no key.
            if hex::decode_to_slice(&key_hash.0, &mut hash).is_err() {
                continue;
            }
            keys.entry(bucket_of(&hash)).or_default().push(KeyOwner {
                hash,
                tenant: tenant.name.clone(),
            });
        }
    }
    keys
}

/// Where two pools serve the same name, the pool whose name sorts first serves it.
fn index_models(catalog: &Catalog) -> HashMap<String, ModelRoute> {
    let mut models = HashMap::new();
    for pool in catalog.pools.values() {
        let PoolKind::Model {
            model,
            weights_version,
            adapters,
            ..
        } = &pool.kind
        else {
            continue;
        };
        let route = ModelRoute {
            pool: pool.name.clone(),
            model: model.clone(),
            adapter: None,
            weights_version: *weights_version,
            rollout: catalog.rollouts.get(&pool.name).cloned(),
        };
        for adapter in adapters {
            let route = ModelRoute {
                adapter: Some(adapter.clone()),
                ..route.clone()
            };
            models.entry(adapter.as_str().to_owned()).or_insert(route);
        }
        models.entry(model.as_str().to_owned()).or_insert(route);
    }
    models
}

fn index_services(catalog: &Catalog) -> HashMap<String, PoolName> {
    let pools = catalog.pools.values();
    let services = pools.filter(|pool| pool.kind == PoolKind::Service);
    services
        .map(|pool| (pool.name.as_str().to_owned(), pool.name.clone()))
        .collect()
}
