//! A message with faults.

use derive_more::{Display, Error};
use ryerouter_core::config::ValidationError;

use crate::generated::v1;

use super::error_details::status_with_details;

/// A message that cannot be converted, with all its faults.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct InvalidMessage {
    /// Its faults; at least one.
    pub faults: Vec<ValidationError>,
}

impl From<InvalidMessage> for tonic::Status {
    fn from(invalid: InvalidMessage) -> Self {
        let message = invalid.to_string();
        let details = v1::ErrorDetails {
            violations: invalid.faults.into_iter().map(Into::into).collect(),
            conflict: None,
        };
        status_with_details(tonic::Code::InvalidArgument, &message, &details)
    }
}

impl From<ValidationError> for v1::FieldViolation {
    fn from(fault: ValidationError) -> Self {
        Self {
            field: fault.field,
            value: fault.value,
            reason: fault.reason,
        }
    }
}

impl From<v1::FieldViolation> for ValidationError {
    fn from(violation: v1::FieldViolation) -> Self {
        Self {
            field: violation.field,
            value: violation.value,
            reason: violation.reason,
        }
    }
}
