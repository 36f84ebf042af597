//! The router process that runs beside each caller.

pub mod clock;
pub mod control;
pub mod peer;
pub mod platform;
pub mod reload;
pub mod rpc;
pub mod tls;
