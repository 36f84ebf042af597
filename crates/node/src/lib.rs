//! The router process that runs beside each caller.

pub mod platform;
