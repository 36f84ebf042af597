//! Refused changes.

use ryerouter_core::config::{ChangeRefusal, Expectation, ResourceReference};
use ryerouter_core::identity::{ChangeId, ResourceVersion};
use tonic::{Code, Status};

use crate::generated::v1;

use super::error_details::status_with_details;

/// The status that tells an operator why a change is refused.
///
/// `UNAVAILABLE` means that nothing was written and another try may succeed; `UNKNOWN` that it may
/// have been written and the same change id settles it.
pub fn refusal_status(refusal: &ChangeRefusal) -> Status {
    let message = refusal.to_string();
    match refusal {
        ChangeRefusal::Invalid { faults } => {
            let details = v1::ErrorDetails {
                violations: faults.iter().cloned().map(Into::into).collect(),
                conflict: None,
            };
            status_with_details(Code::InvalidArgument, &message, &details)
        }
        ChangeRefusal::Stale {
            resource,
            expected,
            actual,
            author,
            change_id,
        } => {
            let details = v1::ErrorDetails {
                violations: Vec::new(),
                conflict: Some(conflict(resource, *expected, *actual, author, change_id)),
            };
            status_with_details(stale_code(*expected, *actual), &message, &details)
        }
        ChangeRefusal::ChangeIdReused { .. } => Status::already_exists(message),
        ChangeRefusal::StoreUnavailable { .. } | ChangeRefusal::NotServing { .. } => {
            Status::unavailable(message)
        }
        ChangeRefusal::OutcomeUnknown { .. } => Status::unknown(message),
    }
}

fn stale_code(expected: Expectation, actual: Option<ResourceVersion>) -> Code {
    match (expected, actual) {
        (Expectation::Absent, _) => Code::AlreadyExists,
        (_, None) => Code::NotFound,
        _ => Code::Aborted,
    }
}

fn conflict(
    resource: &ResourceReference,
    expected: Expectation,
    actual: Option<ResourceVersion>,
    author: &str,
    change_id: &Option<ChangeId>,
) -> v1::VersionConflict {
    let resource = v1::DeletedResource::from(resource);
    let expected_version = match expected {
        Expectation::Version(version) => version.0,
        Expectation::Any | Expectation::Absent => 0,
    };
    v1::VersionConflict {
        kind: resource.kind,
        name: resource.name,
        expected_version,
        current_version: actual.unwrap_or_default().0,
        current_change_id: change_id
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        current_author: author.to_owned(),
    }
}
