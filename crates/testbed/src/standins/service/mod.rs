//! Stand-in for a plain service back end.

mod handler;
mod plain_service;
mod plain_service_faults;

pub use plain_service::PlainService;
pub use plain_service_faults::PlainServiceFaults;
