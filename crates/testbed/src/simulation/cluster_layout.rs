//! Names, addresses and first configuration of a simulated cluster.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use ryerouter_core::catalog::{BackEnd, BackEndState, Pool, PoolKind, Tenant, TenantLimits};
use ryerouter_core::config::{Change, Expectation, Mutation as CatalogMutation, Resource};
use ryerouter_core::identity::{ChangeId, ResourceVersion, WeightsVersion};

use super::{ClusterSettings, Endpoint, Location};

/// The pool of model engines.
pub const MODEL_POOL: &str = "model";
/// The pool of plain services.
pub const SERVICE_POOL: &str = "service";
/// Requests a second of the tenant that has a limit.
pub const LIMITED_REQUESTS_PER_SECOND: u32 = 2;

const REGIONS: usize = 2;
const PEER_PORT: u16 = 7_000;
const BACK_END_PORT: u16 = 9_000;

/// Names, addresses and first configuration.
#[derive(Debug, Clone)]
pub struct ClusterLayout {
    settings: ClusterSettings,
}

impl ClusterLayout {
    /// Layout of a cluster.
    pub fn new(settings: ClusterSettings) -> Self {
        Self { settings }
    }

    /// Where the `index`-th party of a kind stands.
    pub fn location(&self, index: usize) -> Location {
        let zone = index % self.settings.zones;
        Location {
            region: zone % REGIONS,
            zone,
        }
    }

    /// Locations of all parties.
    pub fn locations(&self) -> BTreeMap<Endpoint, Location> {
        let nodes =
            (0..self.settings.nodes).map(|node| (Endpoint::Node(node), self.location(node)));
        let back_ends = (0..self.settings.engines + self.settings.services)
            .map(|back_end| (Endpoint::BackEnd(back_end), self.location(back_end)));
        let platform = (Endpoint::Platform, self.location(0));
        nodes.chain(back_ends).chain([platform]).collect()
    }

    /// Name of a zone.
    pub fn zone_name(location: Location) -> String {
        format!("zone-{}", location.zone)
    }

    /// Name of a data centre.
    pub fn data_centre_name(location: Location) -> String {
        format!("centre-{}", location.region)
    }

    /// Name of a region.
    pub fn region_name(location: Location) -> String {
        format!("region-{}", location.region)
    }

    /// Name of a router process.
    pub fn node_name(node: usize) -> String {
        format!("node-{node}")
    }

    /// Address of a router process for its peers.
    pub fn node_address(node: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 1, 0, node as u8), PEER_PORT))
    }

    /// The router process with an address.
    pub fn node_at(address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(address) if address.port() == PEER_PORT => {
                Some(usize::from(address.ip().octets()[3]))
            }
            _ => None,
        }
    }

    /// Name of a back end.
    pub fn back_end_name(&self, back_end: usize) -> String {
        if back_end < self.settings.engines {
            format!("engine-{back_end}")
        } else {
            format!("service-{}", back_end - self.settings.engines)
        }
    }

    /// Address of a back end.
    pub fn back_end_address(back_end: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 2, 0, back_end as u8), BACK_END_PORT))
    }

    /// Index of the back end with an address.
    pub fn back_end_at(address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(address) if address.port() == BACK_END_PORT => {
                Some(usize::from(address.ip().octets()[3]))
            }
            _ => None,
        }
    }

    /// Name of a tenant.
    pub fn tenant_name(tenant: usize) -> String {
        format!("tenant-{tenant}")
    }

    /// The tenant that has a limit.
    pub fn limited_tenant(&self) -> usize {
        self.settings.tenants - 1
    }

    /// A back end as configured.
    pub fn back_end(&self, back_end: usize, state: BackEndState) -> BackEnd {
        let location = self.location(back_end);
        let pool = if back_end < self.settings.engines {
            MODEL_POOL
        } else {
            SERVICE_POOL
        };
        BackEnd {
            name: self.back_end_name(back_end).as_str().into(),
            pool: pool.into(),
            address: Self::back_end_address(back_end),
            data_centre: Self::data_centre_name(location).as_str().into(),
            zone: Self::zone_name(location).as_str().into(),
            state,
            version: ResourceVersion::default(),
        }
    }

    /// The model pool with a weights version.
    pub fn model_pool(weights_version: u64) -> Pool {
        Self::pool(
            MODEL_POOL,
            PoolKind::Model {
                model: "model".into(),
                weights_version: WeightsVersion(weights_version),
                adapters: Vec::new(),
                weight_loads_at_once: 3,
            },
        )
    }

    /// A tenant with its limits.
    pub fn tenant(&self, tenant: usize, weight: u32) -> Tenant {
        let limited = tenant == self.limited_tenant();
        Tenant {
            name: Self::tenant_name(tenant).as_str().into(),
            api_key_hashes: Vec::new(),
            weight,
            limits: TenantLimits {
                requests_per_second: limited.then_some(LIMITED_REQUESTS_PER_SECOND),
                ..TenantLimits::default()
            },
            version: ResourceVersion::default(),
        }
    }

    /// The change that creates everything.
    pub fn first_change(&self) -> Change {
        let tenants =
            (0..self.settings.tenants).map(|tenant| Resource::Tenant(self.tenant(tenant, 1)));
        let pools = [
            Resource::Pool(Self::model_pool(1)),
            Resource::Pool(Self::pool(SERVICE_POOL, PoolKind::Service)),
        ];
        let back_ends = (0..self.settings.engines + self.settings.services)
            .map(|back_end| Resource::BackEnd(self.back_end(back_end, BackEndState::Active)));
        let mutations = tenants.chain(pools).chain(back_ends).map(put).collect();
        Change {
            change_id: ChangeId::new("first"),
            author: "operator".to_owned(),
            mutations,
        }
    }

    fn pool(name: &str, kind: PoolKind) -> Pool {
        Pool {
            name: name.into(),
            kind,
            kv_store: None,
            version: ResourceVersion::default(),
        }
    }
}

/// A mutation that writes a resource whatever was there.
pub fn put(resource: Resource) -> CatalogMutation {
    CatalogMutation::Put {
        resource,
        expected: Expectation::Any,
    }
}
