//! Writes of a change.

use ryerouter_core::config::{Expectation, Mutation, Resource, ResourceReference};
use ryerouter_core::identity::ResourceVersion;

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

const ABSENT: u64 = 0;

impl From<&Mutation> for v1::Mutation {
    fn from(mutation: &Mutation) -> Self {
        let change = match mutation {
            Mutation::Put { resource, .. } => super::resource::change(resource),
            Mutation::Delete { reference, .. } if is_internal(reference) => None,
            Mutation::Delete { reference, .. } => {
                Some(v1::mutation::Change::Deleted(reference.into()))
            }
        };
        Self {
            expected_version: expected_version(mutation.expected()),
            change,
        }
    }
}

/// What router processes keep for themselves.
fn is_internal(reference: &ResourceReference) -> bool {
    matches!(
        reference,
        ResourceReference::StageProgress(_)
            | ResourceReference::ClaimRoster
            | ResourceReference::Rollout(_)
    )
}

fn expected_version(expectation: Expectation) -> Option<u64> {
    match expectation {
        Expectation::Any => None,
        Expectation::Absent => Some(ABSENT),
        Expectation::Version(version) => Some(version.0),
    }
}

/// What an expected version on the wire stands for.
pub(super) fn expectation(expected_version: Option<u64>) -> Expectation {
    match expected_version {
        None => Expectation::Any,
        Some(ABSENT) => Expectation::Absent,
        Some(version) => Expectation::Version(ResourceVersion(version)),
    }
}

impl TryFrom<v1::Mutation> for Mutation {
    type Error = InvalidMessage;

    fn try_from(message: v1::Mutation) -> Result<Self, InvalidMessage> {
        let expected = expectation(message.expected_version);
        let resource = match message.change {
            Some(v1::mutation::Change::Tenant(tenant)) => Resource::Tenant(tenant.try_into()?),
            Some(v1::mutation::Change::Pool(pool)) => Resource::Pool(pool.try_into()?),
            Some(v1::mutation::Change::BackEnd(back_end)) => {
                Resource::BackEnd(back_end.try_into()?)
            }
            Some(v1::mutation::Change::Stage(stage)) => Resource::Stage(stage.try_into()?),
            Some(v1::mutation::Change::Deleted(deleted)) => {
                let reference = deleted.try_into()?;
                return Ok(Self::Delete {
                    reference,
                    expected,
                });
            }
            None => return Err(missing_change()),
        };
        Ok(Self::Put { resource, expected })
    }
}

fn missing_change() -> InvalidMessage {
    let mut faults = FaultList::default();
    faults.add(
        "mutation.change",
        "(none)",
        "expected a resource or a deletion",
    );
    InvalidMessage::from(faults)
}
