//! Small servers that take the place of engines, plain services and the platform; see
//! `docs/design/engine-protocol.md`, `docs/design/platform-protocol.md` and
//! `docs/design/stand-ins.md`.
//!
//! Every server listens on a loopback port, can be stopped abruptly and started again on the same
//! port, and can be told to misbehave.

pub mod http;
pub mod kept_cache;
pub mod machines;
pub mod model_engine;
pub mod objects;
mod port_reservation;
pub mod service;
pub mod weights;

pub use port_reservation::PortReservation;
