//! Kinds and names of resources.

use ryerouter_core::config::ResourceReference;
use ryerouter_core::identity::{BackEndName, PoolName, StageName, TenantName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

/// The resource of this kind and name.
pub fn reference(kind: v1::ResourceKind, name: &str) -> Result<ResourceReference, InvalidMessage> {
    let mut faults = FaultList::default();
    faults.check_name("name", name);
    let reference = match kind {
        v1::ResourceKind::Tenant => ResourceReference::Tenant(TenantName::new(name)),
        v1::ResourceKind::Pool => ResourceReference::Pool(PoolName::new(name)),
        v1::ResourceKind::BackEnd => ResourceReference::BackEnd(BackEndName::new(name)),
        v1::ResourceKind::Stage => ResourceReference::Stage(StageName::new(name)),
        v1::ResourceKind::Unspecified => {
            faults.add("kind", "(none)", "expected tenant, pool, back end or stage");
            ResourceReference::Tenant(TenantName::new(name))
        }
    };
    faults.finish(reference)
}

impl From<&ResourceReference> for v1::DeletedResource {
    fn from(reference: &ResourceReference) -> Self {
        let (kind, name) = match reference {
            ResourceReference::Tenant(name) => (v1::ResourceKind::Tenant, name.to_string()),
            ResourceReference::Pool(name) => (v1::ResourceKind::Pool, name.to_string()),
            ResourceReference::BackEnd(name) => (v1::ResourceKind::BackEnd, name.to_string()),
            ResourceReference::Stage(name) => (v1::ResourceKind::Stage, name.to_string()),
            // Kept by router processes; operators have no kind for it.
            ResourceReference::StageProgress(_)
            | ResourceReference::ClaimRoster
            | ResourceReference::Rollout(_) => (v1::ResourceKind::Unspecified, String::new()),
        };
        Self {
            kind: kind.into(),
            name,
        }
    }
}

impl TryFrom<v1::DeletedResource> for ResourceReference {
    type Error = InvalidMessage;

    fn try_from(message: v1::DeletedResource) -> Result<Self, InvalidMessage> {
        reference(message.kind(), &message.name)
    }
}
