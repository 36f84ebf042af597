//! Plain HTTP services: requests under `/services/{pool}/…`.

mod forwarded_headers;
mod service_intake;
mod service_route;

pub(crate) use forwarded_headers::{answer_headers, is_event_stream, request_headers};
pub(crate) use service_intake::service_intake;
pub(crate) use service_route::ServiceRoute;

/// Start of the paths of plain services.
pub(crate) const PATH_PREFIX: &str = "/services/";
