//! Binary details of a refused call.

use prost::Message;
use tonic::{Code, Status};

use crate::generated::v1;

/// A status that carries details.
pub fn status_with_details(code: Code, message: &str, details: &v1::ErrorDetails) -> Status {
    Status::with_details(code, message, details.encode_to_vec().into())
}

/// The details of a status; empty when it has none or they are not ours.
pub fn error_details(status: &Status) -> v1::ErrorDetails {
    v1::ErrorDetails::decode(status.details()).unwrap_or_default()
}
