//! Resources.

use ryerouter_core::config::Resource;

use crate::generated::v1;

/// The resource as operators see it; `None` for what router processes keep for themselves.
pub(super) fn change(resource: &Resource) -> Option<v1::mutation::Change> {
    use v1::mutation::Change;
    match resource {
        Resource::Tenant(tenant) => Some(Change::Tenant(tenant.into())),
        Resource::Pool(pool) => Some(Change::Pool(pool.into())),
        Resource::BackEnd(back_end) => Some(Change::BackEnd(back_end.into())),
        Resource::Stage(stage) => Some(Change::Stage(stage.into())),
        Resource::StageProgress(_) | Resource::ClaimRoster(_) | Resource::Rollout(_) => None,
    }
}
