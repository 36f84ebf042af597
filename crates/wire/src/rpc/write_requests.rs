//! Write requests of the four resource services.

use ryerouter_core::config::{Expectation, Mutation, Resource, ResourceReference};
use ryerouter_core::identity::{BackEndName, PoolName, ResourceVersion, StageName, TenantName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage, RequestedChange};

/// Converts the create, update and delete requests of one kind of resource.
macro_rules! write_requests {
    ($kind:ident, $name:ident, $field:ident, $create:ident, $update:ident, $delete:ident) => {
        impl TryFrom<v1::$create> for RequestedChange {
            type Error = InvalidMessage;

            fn try_from(request: v1::$create) -> Result<Self, InvalidMessage> {
                let options = request.options.unwrap_or_default();
                let message = required(request.$field, stringify!($field))?;
                let mutation = Mutation::Put {
                    resource: Resource::$kind(message.try_into()?),
                    expected: absent(options.expected_version)?,
                };
                Self::of_mutation(mutation, options)
            }
        }

        impl TryFrom<v1::$update> for RequestedChange {
            type Error = InvalidMessage;

            fn try_from(request: v1::$update) -> Result<Self, InvalidMessage> {
                let options = request.options.unwrap_or_default();
                let message = required(request.$field, stringify!($field))?;
                let mutation = Mutation::Put {
                    resource: Resource::$kind(message.try_into()?),
                    expected: existing(options.expected_version)?,
                };
                Self::of_mutation(mutation, options)
            }
        }

        impl TryFrom<v1::$delete> for RequestedChange {
            type Error = InvalidMessage;

            fn try_from(request: v1::$delete) -> Result<Self, InvalidMessage> {
                let options = request.options.unwrap_or_default();
                let mut faults = FaultList::default();
                faults.check_name("name", &request.name);
                let name = faults.finish($name::new(request.name))?;
                let mutation = Mutation::Delete {
                    reference: ResourceReference::$kind(name),
                    expected: existing(options.expected_version)?,
                };
                Self::of_mutation(mutation, options)
            }
        }
    };
}

write_requests!(
    Tenant,
    TenantName,
    tenant,
    CreateTenantRequest,
    UpdateTenantRequest,
    DeleteTenantRequest
);
write_requests!(
    Pool,
    PoolName,
    pool,
    CreatePoolRequest,
    UpdatePoolRequest,
    DeletePoolRequest
);
write_requests!(
    BackEnd,
    BackEndName,
    back_end,
    CreateBackEndRequest,
    UpdateBackEndRequest,
    DeleteBackEndRequest
);
write_requests!(
    Stage,
    StageName,
    stage,
    CreateStageRequest,
    UpdateStageRequest,
    DeleteStageRequest
);

fn required<T>(part: Option<T>, field: &str) -> Result<T, InvalidMessage> {
    part.ok_or_else(|| fault(field, "(none)", "is required"))
}

fn absent(expected_version: u64) -> Result<Expectation, InvalidMessage> {
    if expected_version != 0 {
        let reason = "must be 0 to create a resource";
        return Err(fault("options.expected_version", expected_version, reason));
    }
    Ok(Expectation::Absent)
}

fn existing(expected_version: u64) -> Result<Expectation, InvalidMessage> {
    if expected_version == 0 {
        let reason = "must be the version that was read";
        return Err(fault("options.expected_version", 0, reason));
    }
    Ok(Expectation::Version(ResourceVersion(expected_version)))
}

fn fault(field: &str, value: impl ToString, reason: &str) -> InvalidMessage {
    let mut faults = FaultList::default();
    faults.add(field, value, reason);
    faults.into()
}
