//! Tenants.

use ryerouter_core::catalog::{ApiKeyHash, Tenant, TenantLimits};
use ryerouter_core::identity::{ResourceVersion, TenantName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&Tenant> for v1::Tenant {
    fn from(tenant: &Tenant) -> Self {
        let hashes = tenant.api_key_hashes.iter();
        Self {
            name: tenant.name.to_string(),
            api_key_hashes: hashes.map(ToString::to_string).collect(),
            weight: tenant.weight,
            limits: Some(tenant.limits.into()),
            version: tenant.version.0,
        }
    }
}

impl TryFrom<v1::Tenant> for Tenant {
    type Error = InvalidMessage;

    fn try_from(message: v1::Tenant) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        faults.check_name("tenant.name", &message.name);
        for (index, hash) in message.api_key_hashes.iter().enumerate() {
            faults.check_api_key_hash(&format!("tenant.api_key_hashes[{index}]"), hash);
        }
        if message.weight == 0 {
            faults.add("tenant.weight", 0, "must be at least 1");
        }
        let limits = TenantLimits::from(message.limits.unwrap_or_default());
        check_limits(&limits, &mut faults);
        faults.finish(Self {
            name: TenantName::new(message.name),
            api_key_hashes: message.api_key_hashes.into_iter().map(ApiKeyHash).collect(),
            weight: message.weight,
            limits,
            version: ResourceVersion(message.version),
        })
    }
}

fn check_limits(limits: &TenantLimits, faults: &mut FaultList) {
    let fields = [
        ("requests_per_second", limits.requests_per_second),
        ("tokens_per_second", limits.tokens_per_second),
        ("concurrent_streams", limits.concurrent_streams),
    ];
    for (field, limit) in fields {
        if limit == Some(0) {
            let field = format!("tenant.limits.{field}");
            faults.add(&field, 0, "must be at least 1; leave it out for no limit");
        }
    }
}

impl From<TenantLimits> for v1::TenantLimits {
    fn from(limits: TenantLimits) -> Self {
        Self {
            requests_per_second: limits.requests_per_second,
            tokens_per_second: limits.tokens_per_second,
            concurrent_streams: limits.concurrent_streams,
        }
    }
}

impl From<v1::TenantLimits> for TenantLimits {
    fn from(message: v1::TenantLimits) -> Self {
        Self {
            requests_per_second: message.requests_per_second,
            tokens_per_second: message.tokens_per_second,
            concurrent_streams: message.concurrent_streams,
        }
    }
}
