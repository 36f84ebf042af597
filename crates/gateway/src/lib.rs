//! The gateway: a node that stands apart from its callers and routes their requests to engines.
//!
//! A gateway keeps nothing on disk. Configuration, engines and named weights come through the port
//! [`source::CatalogueSource`]; the heads of requests and answers are translated by
//! [`request::Dialect`]. Gateways tell each other what they know in small datagrams ([`peers`]).
//! One thread runs everything: a gateway has a fraction of a core.

pub mod catalogue;
pub mod clock;
pub mod connections;
pub mod continuation;
pub mod engines;
pub mod gateway;
pub mod memory;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod poison;
pub mod quotas;
pub mod relay;
pub mod release;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod serve;
pub mod shedding;
pub mod smoothed_time;
pub mod source;
pub mod sync;
pub mod telemetry;
pub mod topology;
pub mod tunnel;
pub mod upstream;
