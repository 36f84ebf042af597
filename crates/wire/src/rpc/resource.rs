//! Resources.

use ryerouter_core::config::Resource;

use crate::generated::v1;

impl From<&Resource> for v1::mutation::Change {
    fn from(resource: &Resource) -> Self {
        match resource {
            Resource::Tenant(tenant) => Self::Tenant(tenant.into()),
            Resource::Pool(pool) => Self::Pool(pool.into()),
            Resource::BackEnd(back_end) => Self::BackEnd(back_end.into()),
            Resource::Stage(stage) => Self::Stage(stage.into()),
        }
    }
}
